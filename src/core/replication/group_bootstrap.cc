#include "core/replication/group_bootstrap.h"

#include <algorithm>
#include <set>

namespace coltsfootfork {
namespace {

// A join request expires if it isn't repeated for this many probe intervals.
constexpr int kJoinRequestProbeIntervals = 5;
// Further join requests are dropped: a repair needs only one at a time.
constexpr std::size_t kMaxJoinRequests = 64;

}  // namespace

void GroupBootstrap::Tick(Time now) {
  if (!IsSearching(now) || now < next_probe_) return;
  next_probe_ = now + state_.options.probe_interval;
  if (CanBootstrap()) {
    Bootstrap(now);
    return;
  }
  ProbeAll();
}

bool GroupBootstrap::IsSearching(Time now) const {
  const ReplicaRole role = state_.role();
  if (role == ReplicaRole::kUninitialized) return true;
  if (role == ReplicaRole::kLeader || role == ReplicaRole::kHalted) {
    return false;
  }
  return !state_.HasRecentLeaderContact(now);
}

void GroupBootstrap::ProbeAll() {
  std::set<ProcessId> targets(state_.options.seeds.begin(),
                              state_.options.seeds.end());
  targets.insert(known_members_.begin(), known_members_.end());
  for (const Member& member : state_.log.membership().members) {
    targets.insert(member.id.process);
  }
  targets.erase(state_.self.process);
  for (const ProcessId& target : targets) {
    state_.Send({target, 0}, Probe{state_.options.zone});
  }
}

void GroupBootstrap::OnProbe(const ReplicaId& from, const Probe& probe,
                             bool has_leader_lease, Time now) {
  const Membership& membership = state_.log.membership();
  const bool member = membership.Find(from) != nullptr;
  if (has_leader_lease && !member &&
      (join_requests_.size() < kMaxJoinRequests ||
       join_requests_.count(from) != 0)) {
    join_requests_[from] = {from, probe.zone, now};
  }
  ProbeReply reply;
  reply.zone = state_.options.zone;
  if (state_.leader) reply.leader = state_.leader->process;
  for (const Member& other : membership.members) {
    reply.members.push_back(other.id.process);
  }
  state_.SendSynced(from, std::move(reply));
}

void GroupBootstrap::OnProbeReply(const ReplicaId& from, GroupId group,
                                  const ProbeReply& reply, Time now) {
  if (group != 0) {
    uninitialized_seeds_.clear();
    known_members_ = reply.members;
    return;
  }
  if (state_.role() != ReplicaRole::kUninitialized) return;
  uninitialized_seeds_[from.process] = {from, reply.zone, MemberRole::kVoter};
  if (CanBootstrap()) Bootstrap(now);
}

bool GroupBootstrap::CanBootstrap() const {
  if (state_.role() != ReplicaRole::kUninitialized) return false;
  const std::vector<ProcessId>& seeds = state_.options.seeds;
  if (seeds.empty()) return false;
  if (*std::min_element(seeds.begin(), seeds.end()) != state_.self.process) {
    return false;
  }
  return std::all_of(seeds.begin(), seeds.end(), [&](const ProcessId& seed) {
    return seed == state_.self.process || uninitialized_seeds_.count(seed) != 0;
  });
}

void GroupBootstrap::Bootstrap(Time now) {
  LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = EntryKind::kMembership;
  uninitialized_seeds_[state_.self.process] = {state_.self, state_.options.zone,
                                               MemberRole::kVoter};
  for (const ProcessId& seed : state_.options.seeds) {
    const Member& member = uninitialized_seeds_[seed];
    const bool is_duplicate = entry.membership.Find(member.id) != nullptr;
    if (!is_duplicate) entry.membership.members.push_back(member);
  }
  std::sort(entry.membership.members.begin(), entry.membership.members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  uninitialized_seeds_.clear();
  while (state_.hard.group == 0) state_.hard.group = state_.random();
  state_.hard.term = 1;
  state_.StageHardState();
  state_.AppendEntry(std::move(entry));
  state_.Emit(ReplicaEventKind::kGroupBootstrapped, 1, {});
  // No leader can exist yet, so campaign at once.
  state_.next_election_timeout = now;
}

std::vector<JoinRequest> GroupBootstrap::JoinRequests(Time now) const {
  std::vector<JoinRequest> current;
  const Duration max_age =
      kJoinRequestProbeIntervals * state_.options.probe_interval;
  for (const auto& [id, request] : join_requests_) {
    if (state_.log.membership().Find(id) != nullptr) continue;
    if (now < request.last_contact + max_age) current.push_back(request);
  }
  return current;
}

}  // namespace coltsfootfork
