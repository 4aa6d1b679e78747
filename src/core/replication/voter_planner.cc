#include "coltsfootfork/core/replication/voter_planner.h"

#include <algorithm>
#include <map>

namespace coltsfootfork {
namespace {

// The state of the group at one time, with the members sorted into learners,
// live voters and dead voters.
class GroupView {
 public:
  GroupView(const VoterPlannerOptions& options,
            const std::vector<MemberHealth>& health,
            const std::vector<JoinRequest>& join_requests, LogIndex commit,
            Time now)
      : options_(options),
        health_(health),
        join_requests_(join_requests),
        commit_(commit),
        now_(now) {
    leader_ = health.front().member.id;
    for (const MemberHealth& member_health : health) {
      if (!member_health.member.IsVoter()) {
        learners_.push_back(member_health);
      } else if (IsDead(member_health)) {
        dead_voters_.push_back(member_health);
      } else {
        live_voters_.push_back(member_health);
        ++voters_in_[member_health.member.zone];
      }
    }
  }

  std::optional<ChangeVoter> NextChange() const {
    if (!learners_.empty()) return PlanForLearner(learners_.front());
    if (live_voters_.size() + dead_voters_.size() > options_.target_voters) {
      return RemoveExcessVoter();
    }
    return AddLearner();
  }

 private:
  bool IsDead(const MemberHealth& member_health) const {
    return now_ >= member_health.last_contact + options_.dead_after ||
           IsSuperseded(member_health);
  }

  // Returns true if the process now runs with another data folder: its new
  // replica has asked to join or is a member already, and had contact more
  // recently.
  bool IsSuperseded(const MemberHealth& member_health) const {
    const auto replaces = [&](const ReplicaId& other, Time last_contact) {
      return other.process == member_health.member.id.process &&
             other.incarnation != member_health.member.id.incarnation &&
             last_contact > member_health.last_contact;
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

  std::optional<ChangeVoter> PlanForLearner(const MemberHealth& learner) const {
    const Member& member = learner.member;
    if (IsDead(learner) || !NeedsVoterIn(member.zone)) {
      return ChangeVoter{VoterChangeKind::kRemove, member.id, member.zone, {}};
    }
    const bool is_ready =
        learner.match >= commit_ && learner.match != 0 &&
        now_ < learner.last_contact + options_.max_learner_contact_age;
    if (!is_ready) return std::nullopt;
    if (!dead_voters_.empty()) {
      return Replace(dead_voters_.front().member, member);
    }
    if (HasTooFewVoters()) {
      return ChangeVoter{VoterChangeKind::kPromote, member.id, member.zone, {}};
    }
    return Replace(*VoterInMostCrowdedZone(), member);
  }

  static ChangeVoter Replace(const Member& leaving, const Member& joining) {
    return {VoterChangeKind::kReplace, joining.id, joining.zone, leaving.id};
  }

  std::optional<ChangeVoter> RemoveExcessVoter() const {
    const Member* member = dead_voters_.empty() ? VoterInMostCrowdedZone()
                                                : &dead_voters_.front().member;
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
    if (!NeedsVoterIn(best->zone)) return std::nullopt;
    return ChangeVoter{
        VoterChangeKind::kAddLearner, best->replica, best->zone, {}};
  }

  bool HasTooFewVoters() const {
    return live_voters_.size() + dead_voters_.size() < options_.target_voters;
  }

  // Returns true if another voter in the zone would replace a dead or missing
  // voter or improve the spread over the zones.
  bool NeedsVoterIn(const ZoneId& zone) const {
    if (HasTooFewVoters() || !dead_voters_.empty()) return true;
    const Member* candidate = VoterInMostCrowdedZone();
    return candidate != nullptr &&
           VotersIn(candidate->zone) >= VotersIn(zone) + 2;
  }

  // Returns a live voter, except the leader, of the zone with the most live
  // voters.
  const Member* VoterInMostCrowdedZone() const {
    const Member* candidate = nullptr;
    for (const MemberHealth& member_health : live_voters_) {
      if (member_health.member.id == leader_) continue;
      const bool more =
          candidate == nullptr ||
          VotersIn(member_health.member.zone) > VotersIn(candidate->zone);
      if (more) candidate = &member_health.member;
    }
    return candidate;
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
  return GroupView(options_, health, join_requests, commit, now).NextChange();
}

}  // namespace coltsfootfork
