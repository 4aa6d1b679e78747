#include "coltsfootfork/core/replication/replica.h"

#include <utility>

#include "core/replication/election.h"
#include "core/replication/group_bootstrap.h"
#include "core/replication/leadership.h"
#include "core/replication/log_receiver.h"
#include "core/replication/replica_state.h"
#include "core/replication/state_machine_applier.h"
#include "core/replication/voter_changes.h"

namespace coltsfootfork {

class Replica::Impl {
 public:
  Impl(const ReplicaOptions& options, RecoveredState recovered,
       std::uint64_t seed, Time now)
      : state_(options, std::move(recovered), seed, now) {}

  std::vector<ReplicaEffect> Handle(const ReplicaInput& input, Time now);
  std::vector<ReplicaEffect> Tick(Time now);

  const ReplicaState& state() const { return state_; }
  const Leadership& leadership() const { return leadership_; }
  const GroupBootstrap& bootstrap() const { return bootstrap_; }

 private:
  void On(const ReplicaMessageReceived& received, Time now);
  void On(const PersistDone& done, Time now);
  void On(const PersistFailed& failed, Time now);
  void On(const Propose& propose, Time now);
  void On(const SnapshotTaken& taken, Time now);
  void On(const ChangeVoter& change, Time now);

  void OnBody(const ReplicaId& from, GroupId group, const VoteRequest& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const VoteReply& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const AppendRequest& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const AppendReply& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const SnapshotChunk& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const SnapshotReply& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const Probe& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const ProbeReply& body,
              Time now);
  void OnBody(const ReplicaId& from, GroupId group, const StaleTermReply& body,
              Time now);

  bool IsAddressedToSelf(const ReplicaMessageReceived& received);
  void StepDownIfLater(Term term, Time now);
  void StopLeadershipIfLost();
  // Ends leadership if the role has changed, applies committed entries, and
  // returns the effects of the input.
  std::vector<ReplicaEffect> Finish(Time now);

  ReplicaState state_;
  Election election_{state_};
  LogReceiver receiver_{state_};
  Leadership leadership_{state_};
  VoterChanges changes_{state_, leadership_};
  GroupBootstrap bootstrap_{state_};
  StateMachineApplier applier_{state_};
};

std::vector<ReplicaEffect> Replica::Impl::Handle(const ReplicaInput& input,
                                                 Time now) {
  if (state_.role() == ReplicaRole::kHalted) return {};
  std::visit([&](const auto& one) { On(one, now); }, input);
  return Finish(now);
}

std::vector<ReplicaEffect> Replica::Impl::Tick(Time now) {
  if (state_.role() == ReplicaRole::kHalted) return {};
  bootstrap_.Tick(now);
  if (election_.Tick(now)) leadership_.Start(now);
  if (leadership_.is_active()) leadership_.Tick(now);
  return Finish(now);
}

void Replica::Impl::On(const ReplicaMessageReceived& received, Time now) {
  if (!IsAddressedToSelf(received)) return;
  const ReplicaId from{received.from, received.message.from};
  std::visit(
      [&](const auto& body) {
        OnBody(from, received.message.group, body, now);
      },
      received.message.body);
}

bool Replica::Impl::IsAddressedToSelf(const ReplicaMessageReceived& received) {
  const ReplicaMessage& message = received.message;
  const bool is_probe = std::holds_alternative<Probe>(message.body);
  const bool addressed =
      message.to == state_.self.incarnation || (is_probe && message.to == 0);
  if (!addressed) return false;
  const bool has_no_group = message.group == 0 || state_.hard.group == 0;
  if (has_no_group || message.group == state_.hard.group) return true;
  state_.Emit(ReplicaEventKind::kForeignGroup, 0, received.from);
  return false;
}

void Replica::Impl::On(const PersistDone& done, Time now) {
  state_.outbox.OnPersistDone(done.token);
  if (election_.OnPersisted(now)) leadership_.Start(now);
  leadership_.OnPersisted();
}

void Replica::Impl::On(const PersistFailed& /*failed*/, Time /*now*/) {
  state_.roles.Process(RoleEvent::kDiskFailed);
  state_.outbox.Clear();
  state_.leader.reset();
  state_.Emit(ReplicaEventKind::kHalted, state_.log.last_index(), {});
}

void Replica::Impl::On(const Propose& propose, Time now) {
  leadership_.OnPropose(propose, now);
}

void Replica::Impl::On(const SnapshotTaken& taken, Time /*now*/) {
  applier_.OnSnapshotTaken(taken);
}

void Replica::Impl::On(const ChangeVoter& change, Time now) {
  changes_.OnChange(change, now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId group,
                           const VoteRequest& body, Time now) {
  if (!body.pre_vote) state_.JoinGroup(group);
  election_.OnVoteRequest(from, body, leadership_.IsInContactWithQuorum(now),
                          now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId /*group*/,
                           const VoteReply& body, Time now) {
  if (election_.OnVoteReply(from, body, now)) leadership_.Start(now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId group,
                           const AppendRequest& body, Time now) {
  state_.JoinGroup(group);
  receiver_.OnAppend(from, body, now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId /*group*/,
                           const AppendReply& body, Time now) {
  if (leadership_.is_active()) leadership_.OnAppendReply(from, body, now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId group,
                           const SnapshotChunk& body, Time now) {
  state_.JoinGroup(group);
  receiver_.OnChunk(from, body, now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId /*group*/,
                           const SnapshotReply& body, Time now) {
  if (leadership_.is_active()) leadership_.OnSnapshotReply(from, body, now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId /*group*/,
                           const Probe& body, Time now) {
  bootstrap_.OnProbe(from, body, leadership_.IsInContactWithQuorum(now), now);
}

void Replica::Impl::OnBody(const ReplicaId& from, GroupId group,
                           const ProbeReply& body, Time now) {
  bootstrap_.OnProbeReply(from, group, body, now);
}

void Replica::Impl::OnBody(const ReplicaId& /*from*/, GroupId /*group*/,
                           const StaleTermReply& body, Time now) {
  StepDownIfLater(body.term, now);
}

void Replica::Impl::StepDownIfLater(Term term, Time now) {
  if (term > state_.hard.term) state_.StepDown(term, now);
}

void Replica::Impl::StopLeadershipIfLost() {
  if (!leadership_.is_active() || state_.IsLeader()) return;
  leadership_.Stop();
  changes_.Stop();
}

std::vector<ReplicaEffect> Replica::Impl::Finish(Time now) {
  StopLeadershipIfLost();
  while (const LogEntry* entry = applier_.ApplyNext()) {
    leadership_.OnApplied(*entry);
    changes_.OnApplied(*entry);
  }
  if (leadership_.is_active()) changes_.FinishChange(now);
  StopLeadershipIfLost();
  applier_.MaybeRequestSnapshot();
  return state_.outbox.Flush(state_.log.last_index());
}

Replica::Replica(const ReplicaOptions& options, RecoveredState recovered,
                 std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(options, std::move(recovered), seed, now)) {}
Replica::~Replica() = default;
Replica::Replica(Replica&&) noexcept = default;
Replica& Replica::operator=(Replica&&) noexcept = default;

std::vector<ReplicaEffect> Replica::Handle(const ReplicaInput& input,
                                           Time now) {
  return impl_->Handle(input, now);
}

std::vector<ReplicaEffect> Replica::Tick(Time now) { return impl_->Tick(now); }

ReplicaRole Replica::role() const { return impl_->state().role(); }

std::optional<ProcessId> Replica::leader() const {
  const auto& leader = impl_->state().leader;
  if (!leader) return std::nullopt;
  return leader->process;
}

Term Replica::term() const { return impl_->state().hard.term; }

LogIndex Replica::commit_index() const { return impl_->state().commit; }

LogIndex Replica::last_index() const { return impl_->state().log.last_index(); }

ReplicaId Replica::self() const { return impl_->state().self; }

const Membership& Replica::membership() const {
  return impl_->state().log.membership();
}

std::vector<ProcessId> Replica::voters() const {
  std::vector<ProcessId> voters;
  for (const Member& member : membership().members) {
    if (member.VotesInNewConfig()) voters.push_back(member.id.process);
  }
  return voters;
}

bool Replica::IsCommittedVoter(const ReplicaId& id) const {
  const ReplicaState& state = impl_->state();
  const Membership committed = state.log.MembershipAt(state.commit);
  const Member* member = committed.Find(id);
  return member != nullptr && member->role == MemberRole::kVoter;
}

bool Replica::HoldsLease(Time now) const {
  return impl_->state().IsLeader() && impl_->leadership().HoldsLease(now);
}

std::vector<MemberHealth> Replica::Health(Time now) const {
  if (!impl_->state().IsLeader()) return {};
  return impl_->leadership().Health(now);
}

std::vector<JoinRequest> Replica::JoinRequests(Time now) const {
  return impl_->bootstrap().JoinRequests(now);
}

}  // namespace coltsfootfork
