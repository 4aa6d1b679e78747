#include "coltsfootfork/core/stream/stream_life.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace coltsfootfork {
namespace {

namespace front = boost::msm::front;

struct ClaimAsked {};
struct ClaimGranted {};
struct HandedOver {};
struct TokenDelivered {};
struct TakenBack {};
struct ResumeAsked {};
struct Ended {};

struct Waiting : front::state<> {};
struct Claiming : front::state<> {};
struct Dispatched : front::state<> {};
struct Streaming : front::state<> {};
struct Resuming : front::state<> {};
struct Finished : front::state<> {};

template <typename From, typename Event, typename To>
using Move = front::Row<From, Event, To, front::none, front::none>;

struct StreamLifeDef : front::state_machine_def<StreamLifeDef> {
  // No event triggers another one, so the queues would only cost memory.
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = Waiting;

  // Boost.MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<
            Move<Waiting, ClaimAsked, Claiming>,
            Move<Claiming, ClaimGranted, Waiting>,
            Move<Waiting, HandedOver, Dispatched>,
            Move<Dispatched, TakenBack, Waiting>,
            Move<Dispatched, TokenDelivered, Streaming>,
            Move<Streaming, TokenDelivered, Streaming>,
            Move<Streaming, ResumeAsked, Resuming>,
            Move<Resuming, ResumeAsked, Resuming>,
            Move<Resuming, TokenDelivered, Streaming>,
            Move<Waiting, Ended, Finished>, Move<Claiming, Ended, Finished>,
            Move<Dispatched, Ended, Finished>, Move<Streaming, Ended, Finished>,
            Move<Resuming, Ended, Finished>> {};

  // Apply reports events without a transition by its return value instead.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

using Backend = boost::msm::back::state_machine<StreamLifeDef>;

// Boost.MSM numbers the states in the order of their first appearance in the
// table's left column, then in its right column.
constexpr std::array<StreamState, 6> kStateOfNumber = {
    StreamState::kWaiting,   StreamState::kClaiming, StreamState::kDispatched,
    StreamState::kStreaming, StreamState::kResuming, StreamState::kFinished,
};

}  // namespace

class StreamLife::Machine {
 public:
  Machine() { backend_.start(); }

  StreamState state() const {
    return kStateOfNumber.at(
        static_cast<std::size_t>(backend_.current_state()[0]));
  }

  template <typename Event>
  bool Apply(const Event& event) {
    return backend_.process_event(event) == boost::msm::back::HANDLED_TRUE;
  }

 private:
  Backend backend_;
};

StreamLife::StreamLife() : machine_(std::make_unique<Machine>()) {}
StreamLife::~StreamLife() = default;
StreamLife::StreamLife(StreamLife&& other) noexcept = default;
StreamLife& StreamLife::operator=(StreamLife&& other) noexcept = default;

StreamState StreamLife::state() const { return machine_->state(); }

bool StreamLife::Apply(StreamEvent event) {
  switch (event) {
    case StreamEvent::kClaimAsked:
      return machine_->Apply(ClaimAsked{});
    case StreamEvent::kClaimGranted:
      return machine_->Apply(ClaimGranted{});
    case StreamEvent::kHandedOver:
      return machine_->Apply(HandedOver{});
    case StreamEvent::kTokenDelivered:
      return machine_->Apply(TokenDelivered{});
    case StreamEvent::kTakenBack:
      return machine_->Apply(TakenBack{});
    case StreamEvent::kResumeAsked:
      return machine_->Apply(ResumeAsked{});
    case StreamEvent::kEnded:
      return machine_->Apply(Ended{});
  }
  return false;
}

}  // namespace coltsfootfork
