#include "core/replication/cluster_checks.h"

#include <algorithm>

namespace coltsfootfork {

void ClusterChecks::OnLeaseHolders(std::size_t count) {
  if (count > 1) Fail("two replicas hold the lease at one time");
}

void ClusterChecks::OnLeader(Term term, const ProcessId& process) {
  const auto [at, is_new] = leaders_.emplace(term, process);
  if (!is_new && at->second != process) Fail("a term has two leaders");
}

void ClusterChecks::OnVote(const ReplicaId& voter, Term term,
                           const ProcessId& candidate) {
  const auto [at, is_new] = votes_.emplace(std::pair(voter, term), candidate);
  if (!is_new && at->second != candidate) Fail("a vote was forgotten");
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
  if (first.after.Save() != after.Save()) Fail("a state has diverged");
}

void ClusterChecks::OnRestored(const ApplySnapshot& apply) {
  // The last command at or before the snapshot decides its state.
  const auto after = committed_.upper_bound(apply.index);
  if (after == committed_.begin()) return;
  if (std::prev(after)->second.after.Save() != apply.bytes) {
    Fail("a snapshot differs from what was committed");
  }
}

void ClusterChecks::OnAccepted(LogIndex index, const std::string& command,
                               LogIndex min_index) {
  const auto found = committed_.find(index);
  if (found == committed_.end() || found->second.command != command) {
    Fail("an accepted command is not the committed one");
    return;
  }
  if (index <= min_index) Fail("a command took effect before it was proposed");
  accepted_index_ = std::max(accepted_index_, index);
  accepted_revision_ =
      std::max(accepted_revision_, found->second.after.revision);
}

void ClusterChecks::OnRead(std::uint64_t revision) {
  if (revision < accepted_revision_) {
    Fail("a current read is older than what was accepted");
  }
}

void ClusterChecks::Fail(const std::string& problem) {
  const bool known =
      std::find(problems_.begin(), problems_.end(), problem) != problems_.end();
  if (!known) problems_.push_back(problem);
}

}  // namespace coltsfootfork
