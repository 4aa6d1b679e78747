#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/replication/replica_io.h"
#include "core/replication/test_register.h"

namespace coltsfootfork {

// Checks the safety invariants of a group from its observed effects.
class ClusterChecks {
 public:
  // Reports the number of replicas that hold the leader lease at one time.
  void OnLeaseHolders(std::size_t count);
  void OnLeader(Term term, const ProcessId& process);
  // Reports that the voter sent a granted vote.
  void OnVote(const ReplicaId& voter, Term term, const ProcessId& candidate);
  void OnApplied(const ApplyCommand& apply, const TestRegister& after);
  void OnRestored(const ApplySnapshot& apply);
  // Reports that a client received the outcome kCommitted. `min_index` is the
  // highest acknowledged index when the command was proposed.
  void OnAcknowledged(LogIndex index, const std::string& command,
                      LogIndex min_index);
  // Reports the revision that a lease holder would read.
  void OnRead(std::uint64_t revision);
  void Fail(const std::string& problem);

  LogIndex acknowledged_index() const { return acknowledged_index_; }
  std::size_t committed_count() const { return committed_.size(); }
  const std::vector<std::string>& problems() const { return problems_; }

 private:
  struct Committed {
    Term term = 0;
    std::string command;
    TestRegister after;
  };

  std::map<LogIndex, Committed> committed_;
  std::map<Term, ProcessId> leaders_;
  std::map<std::pair<ReplicaId, Term>, ProcessId> votes_;
  LogIndex acknowledged_index_ = 0;
  // The register's revision after all acknowledged commands.
  std::uint64_t acknowledged_revision_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace coltsfootfork
