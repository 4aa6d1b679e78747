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
  enum class Role : std::uint8_t { kNear = 0, kFar };

  ControlSelector(ZoneId zone, std::uint64_t seed)
      : zone_(std::move(zone)), random_(seed) {}

  // A process that may be there.
  void Know(const std::string& address);
  void Know(const std::string& address, const ControlProcessInfo& place);
  // The process was silent, or out of touch: it is passed over, each time for
  // longer.
  void OnLeft(const std::string& address, Time now);
  // The process serves well.
  void OnGood(const std::string& address);

  // A process other than `taken`, by lot among equals; empty without one.
  std::string Choose(Role role, const std::string& taken, Time now);
  // Whether a better one than `held` is there for the role.
  bool HasBetter(Role role, const std::string& held, const std::string& taken,
                 Time now) const;

 private:
  struct Known {
    ControlProcessInfo place;
    Time pass_over_until;
    Duration pass_over{0};
  };

  int RankOf(Role role, const Known& known) const;

  ZoneId zone_;
  std::mt19937_64 random_;
  std::map<std::string, Known> known_;
};

}  // namespace coltsfootfork
