#include "core/replication/role_machine.h"

#include <array>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>
#include <cstddef>

namespace coltsfootfork {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct BecameVoter {};
struct BecameLearner {};
struct ElectionTimeout {};
struct PreVoteWon {};
struct VoteWon {};
struct SteppedDown {};
struct DiskFailed {};

struct Uninitialized : msm::front::state<> {};
struct Learner : msm::front::state<> {};
struct Follower : msm::front::state<> {};
struct PreCandidate : msm::front::state<> {};
struct Candidate : msm::front::state<> {};
struct Leader : msm::front::state<> {};
struct Halted : msm::front::state<> {};

template <typename From, typename Event, typename To>
using Transition = msm::front::Row<From, Event, To, none, none>;

struct RoleDefinition : msm::front::state_machine_def<RoleDefinition> {
  using no_message_queue = int;
  using no_exception_thrown = int;
  using initial_state = Uninitialized;

  // MSM numbers the states in the order of their first mention.
  using transition_table = boost::mpl::vector<
      // clang-format off
            Transition<Uninitialized, BecameLearner, Learner>,
            Transition<Uninitialized, BecameVoter, Follower>,
            Transition<Learner, BecameVoter, Follower>,
            Transition<Follower, BecameLearner, Learner>,
            Transition<Follower, ElectionTimeout, PreCandidate>,
            Transition<Learner, ElectionTimeout, PreCandidate>,
            Transition<PreCandidate, PreVoteWon, Candidate>,
            Transition<PreCandidate, SteppedDown, Follower>,
            Transition<Candidate, ElectionTimeout, PreCandidate>,
            Transition<Candidate, VoteWon, Leader>,
            Transition<Candidate, SteppedDown, Follower>,
            Transition<Leader, SteppedDown, Follower>,
            Transition<Uninitialized, DiskFailed, Halted>,
            Transition<Learner, DiskFailed, Halted>,
            Transition<Follower, DiskFailed, Halted>,
            Transition<PreCandidate, DiskFailed, Halted>,
            Transition<Candidate, DiskFailed, Halted>,
            Transition<Leader, DiskFailed, Halted>
      // clang-format on
      >;

  template <typename Machine, typename Event>
  void no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) {}
};

using Machine = msm::back::state_machine<RoleDefinition>;

template <typename State>
constexpr int StateNumber() {
  return msm::back::get_state_id<Machine::stt, State>::value;
}

}  // namespace

struct RoleMachine::Impl {
  Machine machine;
};

RoleMachine::RoleMachine() : impl_(std::make_unique<Impl>()) {
  impl_->machine.start();
}
RoleMachine::~RoleMachine() = default;
RoleMachine::RoleMachine(RoleMachine&&) noexcept = default;
RoleMachine& RoleMachine::operator=(RoleMachine&&) noexcept = default;

void RoleMachine::Process(RoleEvent event) {
  Machine& machine = impl_->machine;
  switch (event) {
    case RoleEvent::kBecameVoter:
      machine.process_event(BecameVoter());
      return;
    case RoleEvent::kBecameLearner:
      machine.process_event(BecameLearner());
      return;
    case RoleEvent::kElectionTimeout:
      machine.process_event(ElectionTimeout());
      return;
    case RoleEvent::kPreVoteWon:
      machine.process_event(PreVoteWon());
      return;
    case RoleEvent::kVoteWon:
      machine.process_event(VoteWon());
      return;
    case RoleEvent::kSteppedDown:
      machine.process_event(SteppedDown());
      return;
    case RoleEvent::kDiskFailed:
      machine.process_event(DiskFailed());
      return;
  }
}

ReplicaRole RoleMachine::role() const {
  const int state = impl_->machine.current_state()[0];
  if (state == StateNumber<Uninitialized>()) return ReplicaRole::kUninitialized;
  if (state == StateNumber<Learner>()) return ReplicaRole::kLearner;
  if (state == StateNumber<Follower>()) return ReplicaRole::kFollower;
  if (state == StateNumber<PreCandidate>()) return ReplicaRole::kPreCandidate;
  if (state == StateNumber<Candidate>()) return ReplicaRole::kCandidate;
  if (state == StateNumber<Leader>()) return ReplicaRole::kLeader;
  return ReplicaRole::kHalted;
}

}  // namespace coltsfootfork
