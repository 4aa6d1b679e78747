#pragma once

#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Decides when a peer whose directory differs is asked for what differs. News
// under way makes two directories differ for a moment; only a difference that
// lasts is asked for, and then now and then.
class AntiEntropyTimer {
 public:
  // Above the time that news takes to every process.
  static constexpr Duration kMinDivergence = std::chrono::milliseconds(250);
  static constexpr Duration kMinRequestInterval =
      std::chrono::milliseconds(600);

  // The peer was heard; true where it is to be asked now.
  bool ShouldRequestSync(bool differs, Time now);

 private:
  std::optional<Time> differs_since_;
  std::optional<Time> last_request_;
};

}  // namespace coltsfootfork
