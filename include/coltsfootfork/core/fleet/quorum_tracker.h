#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Whether a control process knows what the others know. What a majority of the
// voters holds reaches everyone who lately compared notes with a majority.
class QuorumTracker {
 public:
  // How long a comparison counts. Together with the time that a follower takes
  // to go elsewhere it stays below the shortest promise to a leaving server.
  static constexpr Duration kSyncValidity = std::chrono::milliseconds(900);

  // `self` counts as in step with itself.
  explicit QuorumTracker(std::string self) : self_(std::move(self)) {}

  void SetVoters(const std::vector<std::string>& voters);
  bool has_voters() const { return !voters_.empty(); }
  const std::set<std::string>& voters() const { return voters_; }

  // The peer was seen to hold nothing that is not held here.
  void OnInSync(const std::string& peer, Time now);
  bool IsCurrent(Time now) const;
  // Whether these processes, and this one, make a majority of the voters.
  bool IsMajority(const std::set<std::string>& peers) const;

 private:
  std::string self_;
  std::set<std::string> voters_;
  std::map<std::string, Time> last_in_sync_;
};

}  // namespace coltsfootfork
