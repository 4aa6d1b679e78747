#pragma once

#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Decides when to request a directory sync from a peer whose directory digest
// differs. Updates in flight make two directories differ briefly, so only a
// persistent difference triggers requests, at a limited rate.
class AntiEntropyTimer {
 public:
  // Longer than an update takes to reach every process.
  static constexpr Duration kMinDivergence = std::chrono::milliseconds(250);
  static constexpr Duration kMinRequestInterval =
      std::chrono::milliseconds(600);

  // Called for each digest received from the peer. Returns true if a sync
  // should be requested now.
  bool ShouldRequestSync(bool differs, Time now);

 private:
  std::optional<Time> differs_since_;
  std::optional<Time> last_request_;
};

}  // namespace coltsfootfork
