#include "core/scheduling/server_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace coltsfootfork {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct AnnouncedServing {};
struct AnnouncedDraining {};
struct TimedOut {};

// The order of the states must match ServerStage.
struct LifecycleFront : msm::front::state_machine_def<LifecycleFront> {
  struct Unavailable : msm::front::state<> {};
  struct Serving : msm::front::state<> {};
  struct Draining : msm::front::state<> {};

  using initial_state = Unavailable;

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT
      Row<Unavailable,     AnnouncedServing, Serving,  none, none>,
      Row<Unavailable,     AnnouncedDraining, Draining, none, none>,
      Row<Serving,  AnnouncedDraining, Draining, none, none>,
      Row<Serving,  TimedOut,  Unavailable,     none, none>,
      Row<Draining, AnnouncedServing, Serving,  none, none>,
      Row<Draining, TimedOut,  Unavailable,     none, none>> {};
  // clang-format on

  // Events without a transition are ignored.
  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

}  // namespace

struct ServerLifecycle::Machine {
  msm::back::state_machine<LifecycleFront> machine;
};

ServerLifecycle::ServerLifecycle() : machine_(std::make_unique<Machine>()) {
  machine_->machine.start();
}
ServerLifecycle::~ServerLifecycle() = default;
ServerLifecycle::ServerLifecycle(ServerLifecycle&&) noexcept = default;
ServerLifecycle& ServerLifecycle::operator=(ServerLifecycle&&) noexcept =
    default;

void ServerLifecycle::OnServing() {
  machine_->machine.process_event(AnnouncedServing());
}

void ServerLifecycle::OnDraining() {
  machine_->machine.process_event(AnnouncedDraining());
}

void ServerLifecycle::OnTimeout() {
  machine_->machine.process_event(TimedOut());
}

ServerStage ServerLifecycle::stage() const {
  return static_cast<ServerStage>(machine_->machine.current_state()[0]);
}

}  // namespace coltsfootfork
