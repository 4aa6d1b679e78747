#include "coltsfootfork/core/fleet/quorum_tracker.h"

namespace coltsfootfork {

void QuorumTracker::SetVoters(const std::vector<std::string>& voters) {
  if (voters.empty()) return;
  voters_ = {voters.begin(), voters.end()};
}

void QuorumTracker::OnInSync(const std::string& peer, Time now) {
  last_in_sync_[peer] = now;
}

bool QuorumTracker::IsCurrent(Time now) const {
  std::set<std::string> in_sync;
  for (const auto& [peer, time] : last_in_sync_) {
    if (now < time + kSyncValidity) in_sync.insert(peer);
  }
  return IsMajority(in_sync);
}

bool QuorumTracker::IsMajority(const std::set<std::string>& peers) const {
  std::set<std::string> processes = peers;
  processes.insert(self_);
  return IncludesMajority(processes);
}

bool QuorumTracker::IncludesMajority(
    const std::set<std::string>& processes) const {
  std::size_t count = 0;
  for (const std::string& voter : voters_) count += processes.count(voter);
  return 2 * count > voters_.size();
}

}  // namespace coltsfootfork
