#include "coltsfootfork/core/replication/voter_planner.h"

#include <algorithm>
#include <map>

namespace coltsfootfork {
namespace {

// One look at the group, sorted by what the plan needs to know.
class View {
 public:
  View(const VoterPlannerOptions& options,
       const std::vector<MemberHealth>& health,
       const std::vector<JoinRequest>& join_requests, LogIndex commit, Time now)
      : options_(options),
        health_(health),
        join_requests_(join_requests),
        commit_(commit),
        now_(now) {
    leader_ = health.front().member.id;
    for (const MemberHealth& one : health) {
      if (!one.member.IsVoter()) {
        learners_.push_back(one);
      } else if (IsDead(one)) {
        dead_voters_.push_back(one);
      } else {
        live_voters_.push_back(one);
        ++voters_in_[one.member.zone];
      }
    }
  }

  std::optional<ChangeVoter> Next() const {
    if (!learners_.empty()) return SettleLearner(learners_.front());
    if (live_voters_.size() + dead_voters_.size() > options_.target_voters) {
      return RemoveOne();
    }
    return AddLearner();
  }

 private:
  bool IsDead(const MemberHealth& one) const {
    return now_ >= one.last_contact + options_.dead_after || IsSuperseded(one);
  }

  // The process has come back with another folder, so this one is gone. Its
  // new replica offers itself, or is a learner by now.
  bool IsSuperseded(const MemberHealth& one) const {
    const auto replaces = [&](const ReplicaId& other, Time last_contact) {
      return other.process == one.member.id.process &&
             other.incarnation != one.member.id.incarnation &&
             last_contact > one.last_contact;
    };
    return std::any_of(join_requests_.begin(), join_requests_.end(),
                       [&](const JoinRequest& request) {
                         return replaces(request.replica, request.last_contact);
                       }) ||
           std::any_of(health_.begin(), health_.end(),
                       [&](const MemberHealth& other) {
                         return replaces(other.member.id, other.last_contact);
                       });
  }

  std::optional<ChangeVoter> SettleLearner(const MemberHealth& learner) const {
    const Member& member = learner.member;
    if (IsDead(learner) || !IsWanted(member.zone)) {
      return ChangeVoter{VoterChangeKind::kRemove, member.id, member.zone, {}};
    }
    const bool is_ready =
        learner.match >= commit_ && learner.match != 0 &&
        now_ < learner.last_contact + options_.max_learner_contact_age;
    if (!is_ready) return std::nullopt;
    if (!dead_voters_.empty()) {
      return Replace(dead_voters_.front().member, member);
    }
    if (IsShort()) {
      return ChangeVoter{VoterChangeKind::kPromote, member.id, member.zone, {}};
    }
    return Replace(*MostCrowded(), member);
  }

  static ChangeVoter Replace(const Member& leaving, const Member& joining) {
    return {VoterChangeKind::kReplace, joining.id, joining.zone, leaving.id};
  }

  std::optional<ChangeVoter> RemoveOne() const {
    const Member* member =
        dead_voters_.empty() ? MostCrowded() : &dead_voters_.front().member;
    if (member == nullptr) return std::nullopt;
    return ChangeVoter{VoterChangeKind::kRemove, member->id, member->zone, {}};
  }

  std::optional<ChangeVoter> AddLearner() const {
    if (join_requests_.empty()) return std::nullopt;
    const auto best =
        std::min_element(join_requests_.begin(), join_requests_.end(),
                         [&](const JoinRequest& a, const JoinRequest& b) {
                           return VotersIn(a.zone) < VotersIn(b.zone);
                         });
    if (!IsWanted(best->zone)) return std::nullopt;
    return ChangeVoter{
        VoterChangeKind::kAddLearner, best->replica, best->zone, {}};
  }

  bool IsShort() const {
    return live_voters_.size() + dead_voters_.size() < options_.target_voters;
  }

  // Whether another voter in the zone would repair or spread the group.
  bool IsWanted(const ZoneId& zone) const {
    if (IsShort() || !dead_voters_.empty()) return true;
    const Member* crowded = MostCrowded();
    return crowded != nullptr && VotersIn(crowded->zone) >= VotersIn(zone) + 2;
  }

  // A live voter of the zone with the most of them, but not the leader.
  const Member* MostCrowded() const {
    const Member* crowded = nullptr;
    for (const MemberHealth& one : live_voters_) {
      if (one.member.id == leader_) continue;
      const bool more = crowded == nullptr ||
                        VotersIn(one.member.zone) > VotersIn(crowded->zone);
      if (more) crowded = &one.member;
    }
    return crowded;
  }

  std::size_t VotersIn(const ZoneId& zone) const {
    const auto found = voters_in_.find(zone);
    return found == voters_in_.end() ? 0 : found->second;
  }

  const VoterPlannerOptions& options_;
  const std::vector<MemberHealth>& health_;
  const std::vector<JoinRequest>& join_requests_;
  LogIndex commit_ = 0;
  Time now_;
  ReplicaId leader_;
  std::vector<MemberHealth> live_voters_;
  std::vector<MemberHealth> dead_voters_;
  std::vector<MemberHealth> learners_;
  std::map<ZoneId, std::size_t> voters_in_;
};

}  // namespace

std::optional<ChangeVoter> VoterPlanner::Plan(
    const std::vector<MemberHealth>& health,
    const std::vector<JoinRequest>& join_requests, LogIndex commit,
    Time now) const {
  if (health.empty()) return std::nullopt;
  return View(options_, health, join_requests, commit, now).Next();
}

}  // namespace coltsfootfork
