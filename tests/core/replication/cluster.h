#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "core/replication/cluster_checks.h"
#include "core/replication/fake_disk.h"
#include "core/replication/test_register.h"

namespace coltsfootfork {

// Faults of the simulated network between the replicas.
struct NetworkFaults {
  unsigned loss_permille = 0;
  unsigned duplicate_permille = 0;
  Duration min_delay = std::chrono::microseconds(200);
  Duration max_delay = std::chrono::microseconds(800);
};

// One simulated process with its disk, clock and state machine.
struct Node {
  ProcessId process;
  ZoneId zone;
  FakeDisk disk{0};
  std::unique_ptr<Replica> replica;
  TestRegister state;
  LogIndex applied = 0;
  // Rate of the node's clock above simulated time; negative for a slow clock.
  int clock_drift_permille = 0;
  // The node handles no event before this simulated time.
  Time frozen_until;
  // Incremented by each start and crash, so that timers and syncs of an earlier
  // run are dropped.
  std::uint64_t start_count = 0;
};

// A replica group on a simulated network in simulated time, deterministic for a
// seed.
class Cluster {
 public:
  // `options` applies to all replicas; `self`, `zone` and `seeds` are set here.
  // `seeds` lists the bootstrap voters by node number.
  Cluster(std::size_t nodes, const std::vector<std::size_t>& seeds,
          const ReplicaOptions& options, std::uint64_t seed);

  void RunFor(Duration duration);

  void Start(std::size_t node);
  // Crashes the process. A random number of its oldest unsynced writes survive.
  void Crash(std::size_t node);
  // Empties the data folder of a stopped process.
  void LoseDisk(std::size_t node);
  void FailDisk(std::size_t node);
  void Freeze(std::size_t node, Duration duration);
  // Drops all messages to or from the node, in the given directions.
  void Isolate(std::size_t node, bool incoming, bool outgoing);
  // Drops the messages between two nodes, in both directions.
  void CutLink(std::size_t a, std::size_t b);
  void HealNetwork();

  ProposalId ProposeAt(std::size_t node, const std::string& command);
  void Input(std::size_t node, const ReplicaInput& input);

  // The node that holds the leader lease, or size() if there is none.
  std::size_t LeaseHolder() const;
  bool HasOutcome(ProposalId proposal, ProposalOutcome outcome) const;
  Time LocalTime(std::size_t node) const;

  std::size_t size() const { return nodes_.size(); }
  Node& node(std::size_t number) { return nodes_[number]; }
  const Node& node(std::size_t number) const { return nodes_[number]; }
  Time now() const { return now_; }
  std::uint64_t Random(std::uint64_t bound) { return random_() % bound; }
  NetworkFaults& faults() { return faults_; }
  // Maximum duration of a sync.
  Duration& sync_delay() { return sync_delay_; }
  ClusterChecks& checks() { return checks_; }
  std::size_t elections() const { return elections_; }
  // Number of committed membership changes.
  std::size_t voter_changes() const { return voter_changes_; }

 private:
  enum class EventKind : std::uint8_t { kTick, kDeliver, kSync };
  struct Event {
    EventKind kind = EventKind::kTick;
    std::size_t node = 0;
    std::uint64_t start_count = 0;
    ReplicaMessageReceived message;
  };

  struct ProposedCommand {
    std::string command;
    // The highest acknowledged index at the time of the proposal.
    LogIndex min_index = 0;
  };

  void Schedule(Duration delay, Event event);
  void Run(const Event& event);
  void Sync(std::size_t node);
  void Execute(std::size_t node, const std::vector<ReplicaEffect>& effects);
  void On(std::size_t node, const SendReplicaMessage& send);
  void On(std::size_t node, const Persist& persist);
  void On(std::size_t node, const ApplyCommand& apply);
  void On(std::size_t node, const ApplySnapshot& apply);
  void On(std::size_t node, const ProposalDone& done);
  void On(std::size_t node, const VoterChangeDone& done);
  void On(std::size_t node, const TakeSnapshot& take);
  void On(std::size_t node, const LogEvent& event);
  Duration RandomDelay();
  std::size_t NodeOf(const ProcessId& process) const;
  void Check();

  ReplicaOptions options_;
  std::mt19937_64 random_;
  Time now_ = Time(std::chrono::hours(1));
  std::vector<Node> nodes_;
  NetworkFaults faults_;
  Duration sync_delay_ = std::chrono::milliseconds(2);
  std::set<std::size_t> isolated_incoming_;
  std::set<std::size_t> isolated_outgoing_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::multimap<Time, Event> events_;
  std::map<ProposalId, ProposalOutcome> outcomes_;
  std::map<ProposalId, ProposedCommand> commands_;
  ProposalId next_proposal_ = 1;
  Incarnation next_incarnation_ = 1;
  ClusterChecks checks_;
  std::size_t elections_ = 0;
  std::size_t voter_changes_ = 0;
};

}  // namespace coltsfootfork
