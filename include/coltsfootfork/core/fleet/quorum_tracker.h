#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Tracks whether a control process is up to date. An update that a majority of
// the voters has reaches every process that recently exchanged digests with a
// majority, since any two majorities overlap.
class QuorumTracker {
 public:
  // How long a digest exchange remains valid. This plus the time in which a
  // subscriber switches to another control process must stay below the shortest
  // time guaranteed to a draining server.
  static constexpr Duration kSyncValidity = std::chrono::milliseconds(900);

  // `self` always counts as in sync.
  explicit QuorumTracker(std::string self) : self_(std::move(self)) {}

  void SetVoters(const std::vector<std::string>& voters);
  bool has_voters() const { return !voters_.empty(); }
  const std::set<std::string>& voters() const { return voters_; }

  // The peer's directory was seen to contain nothing that this process lacks.
  void OnInSync(const std::string& peer, Time now);
  bool IsCurrent(Time now) const;
  // Returns true if `peers` and this process include a majority of the voters.
  bool IsMajority(const std::set<std::string>& peers) const;
  // Returns true if the processes include a majority of the voters. False while
  // the voters are unknown.
  bool IncludesMajority(const std::set<std::string>& processes) const;

 private:
  std::string self_;
  std::set<std::string> voters_;
  std::map<std::string, Time> last_in_sync_;
};

}  // namespace coltsfootfork
