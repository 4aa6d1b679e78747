#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace coltsfootfork {

enum class FaultKind : std::uint8_t {
  // Of a process.
  kPause = 0,
  kKill,
  kStop,
  kReload,
  // Of the way to a process or a backend server.
  kDelay,
  kReset,
  kStallToTarget,
  kStallFromTarget,
  kRefuse,
  // Of a backend server.
  kCrash,
  kDrain,
};

enum class FaultTarget : std::uint8_t { kControl = 0, kEntry, kServer };

// Something that goes wrong from outside, and for how long.
struct Fault {
  FaultKind kind = FaultKind::kPause;
  FaultTarget target = FaultTarget::kControl;
  std::size_t number = 0;
  std::chrono::milliseconds duration{0};

  std::string ToText() const;
};

// How many there are to choose from.
struct FaultTargetCounts {
  std::size_t controls = 0;
  std::size_t entries = 0;
  std::size_t servers = 0;
};

Fault DrawFault(const FaultTargetCounts& target_counts,
                std::mt19937_64& random);

// No fault lasts longer.
inline constexpr std::chrono::milliseconds kMaxFaultDuration{2500};

// The pause before the next fault; faults overlap.
std::chrono::milliseconds DrawFaultPause(std::mt19937_64& random);

}  // namespace coltsfootfork
