#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace coltsfootfork {

enum class FaultKind : std::uint8_t {
  // Faults of a process.
  kPause = 0,
  kKill,
  kStop,
  kReload,
  // Network faults on the path to a process or a backend server.
  kDelay,
  kReset,
  kStallToTarget,
  kStallFromTarget,
  kRefuse,
  // Faults of a backend server.
  kCrash,
  kDrain,
  // The server deregisters without a drain, and continues to serve.
  kDeregister,
  // The server is cold without a restart.
  kCold,
  // All control processes and entries are killed at the same moment.
  kKillAll,
  // An operator orders an evacuation of a zone, and later ends it.
  kEvacuate,
};

enum class FaultTarget : std::uint8_t {
  kControl = 0,
  kEntry,
  kServer,
  kFleet,
  kZone
};

// Which faults are injected.
enum class FaultMix : std::uint8_t {
  kAll = 0,
  // Planned work only: graceful shutdowns, reloads, drains, deregistrations,
  // cold servers and evacuations.
  kPlanned,
};

// An injected fault and its duration.
struct Fault {
  FaultKind kind = FaultKind::kPause;
  FaultTarget target = FaultTarget::kControl;
  std::size_t number = 0;
  std::chrono::milliseconds duration{0};

  std::string ToText() const;
};

// The number of possible targets of each kind.
struct FaultTargetCounts {
  std::size_t controls = 0;
  std::size_t entries = 0;
  std::size_t servers = 0;
  std::size_t zones = 0;
};

Fault DrawFault(FaultMix mix, const FaultTargetCounts& target_counts,
                std::mt19937_64& random);

// Returns whether the fault kills, pauses, stops or cuts off a control process
// or an entry.
bool DisturbsProcess(const Fault& fault);

// The upper limit of a fault's duration, except for evacuations and cold
// servers, which leave every process and connection alone.
inline constexpr std::chrono::milliseconds kMaxFaultDuration{2500};

// Returns a random pause before the next fault. It may be shorter than a fault,
// so faults overlap.
std::chrono::milliseconds DrawFaultPause(std::mt19937_64& random);

}  // namespace coltsfootfork
