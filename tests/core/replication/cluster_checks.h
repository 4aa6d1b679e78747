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

// What must hold in a group whatever fails, looked at from outside.
class ClusterChecks {
 public:
  // How many hold the lease at one true time.
  void OnLeaseHolders(std::size_t count);
  void OnLeader(Term term, const ProcessId& process);
  // A granted vote left the voter.
  void OnVote(const ReplicaId& voter, Term term, const ProcessId& candidate);
  void OnApplied(const ApplyCommand& apply, const TestRegister& after);
  void OnRestored(const ApplySnapshot& apply);
  // The caller was told that the command is committed at the index.
  void OnAccepted(LogIndex index, const std::string& command);
  // A read that claims to be current, begun when `floor` was accepted.
  void OnRead(std::uint64_t revision, std::uint64_t floor);
  void Fail(const std::string& problem);

  // The revision that the accepted commands have led to.
  std::uint64_t accepted_revision() const { return accepted_revision_; }
  std::size_t committed_count() const { return committed_.size(); }
  LogIndex last_committed() const {
    return committed_.empty() ? 0 : committed_.rbegin()->first;
  }
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
  std::uint64_t accepted_revision_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace coltsfootfork
