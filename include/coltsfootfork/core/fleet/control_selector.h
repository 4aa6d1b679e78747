#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What an entry knows of a control process that it may follow.
struct ControlProcessInfo {
  // Empty while nobody has told.
  ZoneId zone;
  bool has_disk = false;
};

// Which control processes an entry follows. The first one is of its own
// availability zone, since what it tells crosses no zone; the second one is of
// another, so that a zone that is cut off does not hide that it is. Those with
// a disk come before those without: they vote, and stand on the larger hosts.
class ControlSelector {
 public:
  enum class Role : std::uint8_t { kSameZone = 0, kOtherZone };

  ControlSelector(ZoneId zone, std::uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  // A process that may be there.
  void AddCandidate(const std::string& address);
  void AddCandidate(const std::string& address, const ControlProcessInfo& info);
  // The process was silent, or out of touch: it is passed over, each time for
  // longer.
  void OnUnhealthy(const std::string& address, Time now);
  // The process serves well.
  void OnHealthy(const std::string& address);

  // A process other than `taken`, by lot among equals; empty without one.
  std::string Choose(Role role, const std::string& excluded, Time now);
  // Whether a better one than `held` is there for the role.
  bool HasBetterCandidate(Role role, const std::string& current,
                          const std::string& excluded, Time now) const;

 private:
  struct Candidate {
    ControlProcessInfo info;
    Time backoff_until;
    Duration backoff{0};
  };

  int PenaltyOf(Role role, const Candidate& candidate) const;

  ZoneId zone_;
  std::mt19937_64 random_;
  std::map<std::string, Candidate> candidates_;
};

}  // namespace coltsfootfork
