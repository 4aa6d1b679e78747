#include "coltsfootfork/core/stream/stream_state_machine.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

namespace coltsfootfork {
namespace {

namespace front = boost::msm::front;

struct ClaimRequested {};
struct ClaimGranted {};
struct RequestDispatched {};
struct TokenDelivered {};
struct RequestWithdrawn {};
struct ResumeRequested {};
struct Ended {};

struct Waiting : front::state<> {};
struct Claiming : front::state<> {};
struct Dispatched : front::state<> {};
struct Streaming : front::state<> {};
struct Resuming : front::state<> {};
struct Finished : front::state<> {};

template <typename From, typename Event, typename To>
using Transition = front::Row<From, Event, To, front::none, front::none>;

struct StreamStateMachineDef : front::state_machine_def<StreamStateMachineDef> {
  // No event triggers another one, so the queues would only cost memory.
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = Waiting;

  // Boost.MSM requires this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
      : boost::mpl::vector<Transition<Waiting, ClaimRequested, Claiming>,
                           Transition<Claiming, ClaimGranted, Waiting>,
                           Transition<Waiting, RequestDispatched, Dispatched>,
                           Transition<Dispatched, RequestWithdrawn, Waiting>,
                           Transition<Dispatched, TokenDelivered, Streaming>,
                           Transition<Streaming, TokenDelivered, Streaming>,
                           Transition<Streaming, ResumeRequested, Resuming>,
                           Transition<Resuming, ResumeRequested, Resuming>,
                           Transition<Resuming, TokenDelivered, Streaming>,
                           Transition<Waiting, Ended, Finished>,
                           Transition<Claiming, Ended, Finished>,
                           Transition<Dispatched, Ended, Finished>,
                           Transition<Streaming, Ended, Finished>,
                           Transition<Resuming, Ended, Finished>> {};

  // Apply reports events without a transition by its return value instead.
  template <typename Fsm, typename Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

using Backend = boost::msm::back::state_machine<StreamStateMachineDef>;

// Boost.MSM numbers the states in the order of their first appearance in the
// table's left column, then in its right column.
constexpr std::array<StreamState, 6> kStateByNumber = {
    StreamState::kWaiting,   StreamState::kClaiming, StreamState::kDispatched,
    StreamState::kStreaming, StreamState::kResuming, StreamState::kFinished,
};

}  // namespace

class StreamStateMachine::Machine {
 public:
  Machine() { backend_.start(); }

  StreamState state() const {
    return kStateByNumber.at(
        static_cast<std::size_t>(backend_.current_state()[0]));
  }

  template <typename Event>
  bool Apply(const Event& event) {
    return backend_.process_event(event) == boost::msm::back::HANDLED_TRUE;
  }

 private:
  Backend backend_;
};

StreamStateMachine::StreamStateMachine()
    : machine_(std::make_unique<Machine>()) {}
StreamStateMachine::~StreamStateMachine() = default;
StreamStateMachine::StreamStateMachine(StreamStateMachine&& other) noexcept =
    default;
StreamStateMachine& StreamStateMachine::operator=(
    StreamStateMachine&& other) noexcept = default;

StreamState StreamStateMachine::state() const { return machine_->state(); }

bool StreamStateMachine::Apply(StreamEvent event) {
  switch (event) {
    case StreamEvent::kClaimRequested:
      return machine_->Apply(ClaimRequested{});
    case StreamEvent::kClaimGranted:
      return machine_->Apply(ClaimGranted{});
    case StreamEvent::kRequestDispatched:
      return machine_->Apply(RequestDispatched{});
    case StreamEvent::kTokenDelivered:
      return machine_->Apply(TokenDelivered{});
    case StreamEvent::kRequestWithdrawn:
      return machine_->Apply(RequestWithdrawn{});
    case StreamEvent::kResumeRequested:
      return machine_->Apply(ResumeRequested{});
    case StreamEvent::kEnded:
      return machine_->Apply(Ended{});
  }
  return false;
}

}  // namespace coltsfootfork
