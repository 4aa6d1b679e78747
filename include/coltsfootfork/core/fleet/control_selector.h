#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Attributes of a control process to which an entry can subscribe.
struct ControlProcessInfo {
  // Empty while unknown.
  ZoneId zone;
  bool has_disk = false;
};

// Selects the two control processes to which an entry subscribes. The first is
// in the entry's own availability zone, so that updates cross no zone boundary.
// The second is in another zone, so that the entry detects a partition of its
// own zone. Processes with a disk are preferred: they vote and run on the
// larger hosts.
class ControlSelector {
 public:
  enum class Role : std::uint8_t { kSameZone = 0, kOtherZone };

  ControlSelector(ZoneId zone, std::uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  // Adds a process that may be reachable, or updates its attributes.
  void AddCandidate(const std::string& address);
  void AddCandidate(const std::string& address, const ControlProcessInfo& info);
  // The process timed out or lost contact with the quorum. It is excluded for a
  // backoff that doubles with each failure.
  void OnUnhealthy(const std::string& address, Time now);
  // Resets the backoff of a process that has been healthy for a while.
  void OnHealthy(const std::string& address);

  // Returns the address of the best process other than `excluded`, at random
  // among equals, or an empty string if there is none.
  std::string Choose(Role role, const std::string& excluded, Time now);
  // Returns true if a process better than `current` is available for the role.
  bool HasBetterCandidate(Role role, const std::string& current,
                          const std::string& excluded, Time now) const;

 private:
  struct Candidate {
    ControlProcessInfo info;
    Time backoff_until;
    Duration backoff{0};
  };

  // The process with the lowest penalty is preferred.
  int PenaltyOf(Role role, const Candidate& candidate) const;

  ZoneId zone_;
  std::mt19937_64 random_;
  std::map<std::string, Candidate> candidates_;
};

}  // namespace coltsfootfork
