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
  // The caller was told that the command is committed at the index. When it
  // proposed it, `floor` had been accepted already.
  void OnAccepted(LogIndex index, const std::string& command,
                  LogIndex min_index);
  // A read that claims to be current.
  void OnRead(std::uint64_t revision);
  void Fail(const std::string& problem);

  LogIndex accepted_index() const { return accepted_index_; }
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
  LogIndex accepted_index_ = 0;
  // The revision that the accepted commands have led to.
  std::uint64_t accepted_revision_ = 0;
  std::vector<std::string> problems_;
};

}  // namespace coltsfootfork
