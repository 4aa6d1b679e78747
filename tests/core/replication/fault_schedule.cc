#include "core/replication/fault_schedule.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "coltsfootfork/core/replication/voter_planner.h"
#include "core/replication/cluster.h"
#include "core/replication/quorum.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSpareNodes = 2;
constexpr int kFaultSteps = 150;
// Two clocks differ by at most twice this value, which is the drift bound in
// ReplicaOptions.
constexpr int kMaxDriftPermille = 5;

ReplicaOptions OptionsFor(std::uint64_t seed) {
  ReplicaOptions options;
  options.snapshot_entries = seed % 3 == 0 ? 2000 : 10;
  options.trailing_entries = seed % 5;
  options.max_batch_bytes = seed % 2 == 0 ? 60 : 64 * kBytesPerKibibyte;
  return options;
}

std::vector<std::size_t> SeedNodes(std::size_t count) {
  std::vector<std::size_t> nodes;
  for (std::size_t i = 0; i < count; ++i) nodes.push_back(i);
  return nodes;
}

class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : voters_(seed % 4 == 3 ? 5 : 3),
        cluster_(voters_ + kSpareNodes, SeedNodes(voters_), OptionsFor(seed),
                 seed) {}

  ScheduleResult Run() {
    StartAll();
    cluster_.RunFor(milliseconds(cluster_.Random(4000)));
    for (int step = 0; step < kFaultSteps; ++step) {
      if (cluster_.Random(6) == 0) InjectFault();
      ProposeAndRepair();
      cluster_.RunFor(milliseconds(50 + cluster_.Random(400)));
    }
    HealAndRepair();
    CheckRecovered();
    result_.problems = cluster_.checks().problems();
    result_.commands = cluster_.checks().committed_count();
    result_.elections = cluster_.elections();
    result_.voter_changes = cluster_.voter_changes();
    return result_;
  }

 private:
  void StartAll() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const auto spread =
          static_cast<int>(cluster_.Random(2 * kMaxDriftPermille + 1));
      cluster_.node(i).clock_drift_permille = spread - kMaxDriftPermille;
      cluster_.Start(i);
    }
  }

  // Proposes commands, some of them at a node other than the lease holder, and
  // lets the leader repair the membership.
  void ProposeAndRepair() {
    for (std::uint64_t i = cluster_.Random(4); i > 0; --i) {
      const std::size_t holder = cluster_.LeaseHolder();
      const bool elsewhere =
          holder == cluster_.size() || cluster_.Random(5) == 0;
      const std::size_t target =
          elsewhere ? cluster_.Random(cluster_.size()) : holder;
      const std::uint64_t revision = cluster_.node(target).state.revision;
      cluster_.ProposeAt(target, std::to_string(revision) + " " +
                                     std::to_string(next_value_++));
    }
    Repair();
  }

  void Repair() {
    const std::size_t holder = cluster_.LeaseHolder();
    if (holder == cluster_.size()) return;
    VoterPlannerOptions options;
    options.target_voters = voters_;
    options.dead_after = seconds(5);
    const Replica& replica = *cluster_.node(holder).replica;
    const Time now = cluster_.LocalTime(holder);
    const auto change = VoterPlanner(options).Plan(replica.Health(now),
                                                   replica.JoinRequests(now),
                                                   replica.commit_index(), now);
    if (!change) return;
    cluster_.Input(holder, *change);
  }

  void InjectFault() {
    const std::size_t node = cluster_.Random(cluster_.size());
    switch (cluster_.Random(18)) {
      case 0:
      case 1:
        StopOrStart(node);
        return;
      case 2:
        if (CanLoseDisk(node)) LoseDisk(node);
        return;
      case 3:
        cluster_.Isolate(node, true, true);
        return;
      case 4:
        cluster_.Isolate(node, cluster_.Random(2) == 0,
                         cluster_.Random(2) == 0);
        return;
      case 5:
        cluster_.Freeze(Leader(), milliseconds(cluster_.Random(6000)));
        return;
      case 6:
        cluster_.Isolate(Leader(), true, true);
        return;
      case 7:
        cluster_.faults().loss_permille = 300;
        cluster_.faults().duplicate_permille = 300;
        return;
      case 8:
        cluster_.faults().max_delay = milliseconds(3000);
        return;
      case 9:
        cluster_.sync_delay() = milliseconds(1 + cluster_.Random(500));
        return;
      case 10:
        RestartAllOrFailDisk(node);
        return;
      case 11:
      case 12:
        cluster_.CutLink(Leader(), node);
        return;
      case 13:
        RestartOthersRepeatedly(Leader(), node);
        return;
      default:
        cluster_.HealNetwork();
        return;
    }
  }

  std::size_t Leader() {
    const std::size_t holder = cluster_.LeaseHolder();
    return holder == cluster_.size() ? 0 : holder;
  }

  void StopOrStart(std::size_t node) {
    if (!cluster_.node(node).replica) {
      cluster_.Start(node);
      return;
    }
    ++result_.crashes;
    cluster_.Crash(node);
    if (cluster_.Random(2) == 0) cluster_.Start(node);
  }

  // A voter disconnected from the leader campaigns, while repeated restarts
  // erase the other voters' in-memory record of their contact with the leader.
  void RestartOthersRepeatedly(std::size_t leader, std::size_t other) {
    cluster_.CutLink(leader, other);
    for (int i = 0; i < 20; ++i) {
      for (std::size_t node = 0; node < cluster_.size(); ++node) {
        if (node == leader || node == other) continue;
        if (!cluster_.node(node).replica || cluster_.Random(2) == 0) continue;
        cluster_.Crash(node);
        cluster_.Start(node);
      }
      cluster_.RunFor(milliseconds(100 + cluster_.Random(200)));
    }
  }

  void RestartAllOrFailDisk(std::size_t node) {
    if (cluster_.Random(2) == 0) {
      cluster_.FailDisk(node);
      return;
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      cluster_.Crash(i);
      cluster_.Start(i);
    }
    ++result_.crashes;
  }

  void LoseDisk(std::size_t node) {
    ++result_.lost_disks;
    cluster_.Crash(node);
    cluster_.LoseDisk(node);
    cluster_.Start(node);
  }

  // Returns true if every replica's current membership keeps a quorum of intact
  // data folders. No group survives the loss of more.
  bool CanLoseDisk(std::size_t lost_node) {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.node(i).replica) return false;
      const Membership& membership = cluster_.node(i).replica->membership();
      if (membership.members.empty()) continue;
      const bool keeps_quorum = IsQuorum(membership, [&](const Member& member) {
        return HasFolder(member.id, lost_node);
      });
      if (!keeps_quorum) return false;
    }
    return true;
  }

  bool HasFolder(const ReplicaId& id, std::size_t lost_node) {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const Node& node = cluster_.node(i);
      if (node.process != id.process) continue;
      return i != lost_node && node.disk.synced().incarnation == id.incarnation;
    }
    return false;
  }

  void HealAndRepair() {
    cluster_.HealNetwork();
    cluster_.sync_delay() = milliseconds(2);
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      Node& node = cluster_.node(i);
      node.frozen_until = cluster_.now();
      if (node.replica && node.replica->role() != ReplicaRole::kHalted) {
        continue;
      }
      if (node.replica) cluster_.Crash(i);
      cluster_.Start(i);
    }
    for (int i = 0; i < 100; ++i) {
      Repair();
      cluster_.RunFor(milliseconds(400));
    }
  }

  void CheckRecovered() {
    const std::size_t holder = cluster_.LeaseHolder();
    if (holder == cluster_.size()) {
      cluster_.checks().Fail("no leader after all faults ended");
      return;
    }
    const ProposalId proposal = cluster_.ProposeAt(holder, "0 0");
    cluster_.RunFor(seconds(2));
    if (!cluster_.HasOutcome(proposal, ProposalOutcome::kCommitted)) {
      cluster_.checks().Fail("no commit after all faults ended");
    }
    const Replica& leader = *cluster_.node(holder).replica;
    if (leader.voters().size() != voters_) {
      cluster_.checks().Fail(
          "the group does not have its target number of voters");
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      const Node& node = cluster_.node(i);
      if (leader.membership().Find(node.replica->self()) == nullptr) continue;
      if (node.applied != cluster_.node(holder).applied) {
        cluster_.checks().Fail("a member did not catch up");
      }
    }
  }

  std::size_t voters_;
  Cluster cluster_;
  std::uint64_t next_value_ = 1;
  ScheduleResult result_;
};

}  // namespace

ScheduleResult RunFaultSchedule(std::uint64_t seed) {
  return Schedule(seed).Run();
}

}  // namespace coltsfootfork
