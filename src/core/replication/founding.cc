#include "core/replication/founding.h"

#include <algorithm>
#include <set>

namespace coltsfootfork {
namespace {

// An offer that was not repeated for so many probe intervals is void.
constexpr int kOfferIntervals = 5;
// Offers beyond this many are not kept: a repair needs one at a time.
constexpr std::size_t kMaxOffers = 64;

}  // namespace

void Founding::Tick(Time now) {
  if (!IsSearching(now) || now < next_probe_) return;
  next_probe_ = now + state_.options.probe_interval;
  if (MayFound()) {
    Found(now);
    return;
  }
  ProbeAll();
}

bool Founding::IsSearching(Time now) const {
  const ReplicaRole role = state_.role();
  if (role == ReplicaRole::kBlank) return true;
  if (role == ReplicaRole::kLeader || role == ReplicaRole::kHalted) {
    return false;
  }
  return !state_.IsBoundByLease(now);
}

void Founding::ProbeAll() {
  std::set<ProcessId> targets(state_.options.seeds.begin(),
                              state_.options.seeds.end());
  targets.insert(known_.begin(), known_.end());
  for (const Member& member : state_.log.membership().members) {
    targets.insert(member.id.process);
  }
  targets.erase(state_.self.process);
  for (const ProcessId& target : targets) {
    state_.Send({target, 0}, Probe{state_.options.zone});
  }
}

void Founding::OnProbe(const ReplicaId& from, const Probe& probe, bool leads,
                       Time now) {
  const Membership& membership = state_.log.membership();
  const bool member = membership.Find(from) != nullptr;
  if (leads && !member &&
      (offers_.size() < kMaxOffers || offers_.count(from) != 0)) {
    offers_[from] = {from, probe.zone, now};
  }
  ProbeReply reply;
  reply.zone = state_.options.zone;
  if (state_.leader) reply.leader = state_.leader->process;
  for (const Member& other : membership.members) {
    reply.members.push_back(other.id.process);
  }
  state_.SendSynced(from, std::move(reply));
}

void Founding::OnProbeReply(const ReplicaId& from, GroupId group,
                            const ProbeReply& reply, Time now) {
  if (group != 0) {
    blank_seeds_.clear();
    known_ = reply.members;
    return;
  }
  if (state_.role() != ReplicaRole::kBlank) return;
  blank_seeds_[from.process] = {from, reply.zone, MemberRole::kVoter};
  if (MayFound()) Found(now);
}

bool Founding::MayFound() const {
  if (state_.role() != ReplicaRole::kBlank) return false;
  const std::vector<ProcessId>& seeds = state_.options.seeds;
  if (seeds.empty()) return false;
  if (*std::min_element(seeds.begin(), seeds.end()) != state_.self.process) {
    return false;
  }
  return std::all_of(seeds.begin(), seeds.end(), [&](const ProcessId& seed) {
    return seed == state_.self.process || blank_seeds_.count(seed) != 0;
  });
}

void Founding::Found(Time now) {
  LogEntry entry;
  entry.index = 1;
  entry.term = 1;
  entry.kind = EntryKind::kMembership;
  blank_seeds_[state_.self.process] = {state_.self, state_.options.zone,
                                       MemberRole::kVoter};
  for (const ProcessId& seed : state_.options.seeds) {
    const Member& member = blank_seeds_[seed];
    const bool twice = entry.membership.Find(member.id) != nullptr;
    if (!twice) entry.membership.members.push_back(member);
  }
  std::sort(entry.membership.members.begin(), entry.membership.members.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
  blank_seeds_.clear();
  while (state_.hard.group == 0) state_.hard.group = state_.random();
  state_.hard.term = 1;
  state_.StageHardState();
  state_.AppendEntry(std::move(entry));
  state_.Emit(ReplicaEventKind::kGroupFounded, 1, {});
  // No leader can exist yet, so there is nothing to wait for.
  state_.election_due = now;
}

std::vector<VoterOffer> Founding::JoinRequests(Time now) const {
  std::vector<VoterOffer> fresh;
  const Duration bound = kOfferIntervals * state_.options.probe_interval;
  for (const auto& [id, offer] : offers_) {
    if (state_.log.membership().Find(id) != nullptr) continue;
    if (now < offer.last_heard + bound) fresh.push_back(offer);
  }
  return fresh;
}

}  // namespace coltsfootfork
