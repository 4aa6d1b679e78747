#include "core/replication/cluster_checks.h"

#include <algorithm>

namespace coltsfootfork {

void ClusterChecks::OnLeaseHolders(std::size_t count) {
  if (count > 1) Fail("two replicas hold the leader lease at the same time");
}

void ClusterChecks::OnLeader(Term term, const ProcessId& process) {
  const auto [at, is_new] = leaders_.emplace(term, process);
  if (!is_new && at->second != process) Fail("a term has two leaders");
}

void ClusterChecks::OnVote(const ReplicaId& voter, Term term,
                           const ProcessId& candidate) {
  const auto [at, is_new] = votes_.emplace(std::pair(voter, term), candidate);
  if (!is_new && at->second != candidate) Fail("two votes in one term");
}

void ClusterChecks::OnApplied(const ApplyCommand& apply,
                              const TestRegister& after) {
  const auto [at, is_new] = committed_.emplace(
      apply.index, Committed{apply.term, apply.command, after});
  if (is_new) return;
  const Committed& first = at->second;
  if (first.term != apply.term || first.command != apply.command) {
    Fail("a committed entry was changed");
  }
  if (first.after.Save() != after.Save()) Fail("replica states have diverged");
}

void ClusterChecks::OnRestored(const ApplySnapshot& apply) {
  // The snapshot must equal the state after the last command at or before it.
  const auto after = committed_.upper_bound(apply.index);
  if (after == committed_.begin()) return;
  if (std::prev(after)->second.after.Save() != apply.bytes) {
    Fail("a snapshot differs from the committed state");
  }
}

void ClusterChecks::OnAcknowledged(LogIndex index, const std::string& command,
                                   LogIndex min_index) {
  const auto found = committed_.find(index);
  if (found == committed_.end() || found->second.command != command) {
    Fail("an acknowledged command differs from the committed entry");
    return;
  }
  if (index <= min_index) Fail("a command took effect before it was proposed");
  acknowledged_index_ = std::max(acknowledged_index_, index);
  acknowledged_revision_ =
      std::max(acknowledged_revision_, found->second.after.revision);
}

void ClusterChecks::OnRead(std::uint64_t revision) {
  if (revision < acknowledged_revision_) {
    Fail("a read under the lease is older than an acknowledged command");
  }
}

void ClusterChecks::Fail(const std::string& problem) {
  const bool known =
      std::find(problems_.begin(), problems_.end(), problem) != problems_.end();
  if (!known) problems_.push_back(problem);
}

}  // namespace coltsfootfork
