#include "soak/fault.h"

#include <array>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr int kMinFaultMilliseconds = 50;
constexpr int kMinPauseMilliseconds = 50;
constexpr int kMaxPauseMilliseconds = 700;
constexpr int kFaultsPerKillAll = 15;
// The system is back within a second after all its processes were killed.
constexpr int kMaxKillAllMilliseconds = 1000;
constexpr int kFaultsPerEvacuation = 8;
// After the acknowledgement of its start.
constexpr int kMinEvacuationMilliseconds = 500;
constexpr int kMaxEvacuationMilliseconds = 4000;
// Longer than the news needs, so that it has an effect.
constexpr int kMinColdMilliseconds = 2000;
constexpr int kMaxColdMilliseconds = 5000;

constexpr std::array<const char*, 15> kKinds = {
    "pause", "kill",          "stop",         "reload",   "delay",
    "reset", "silence_there", "silence_back", "refuse",   "crash",
    "drain", "deregister",    "cold",         "kill_all", "evacuate"};
constexpr std::array<const char*, 5> kTargets = {"control", "entry", "server",
                                                 "fleet", "zone"};

std::size_t DrawBelow(std::size_t end, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
}

FaultKind DrawKind(FaultKind first, FaultKind last, std::mt19937_64& random) {
  std::uniform_int_distribution<int> kinds(static_cast<int>(first),
                                           static_cast<int>(last));
  return static_cast<FaultKind>(kinds(random));
}

milliseconds Draw(int shortest, int longest, std::mt19937_64& random) {
  return milliseconds(
      std::uniform_int_distribution<int>(shortest, longest)(random));
}

}  // namespace

std::string Fault::ToText() const {
  return std::string(kKinds.at(static_cast<std::size_t>(kind))) + " " +
         kTargets.at(static_cast<std::size_t>(target)) + "-" +
         std::to_string(number) + " for " + std::to_string(duration.count()) +
         " ms";
}

Fault DrawFault(FaultMix mix, const FaultTargetCounts& target_counts,
                std::mt19937_64& random) {
  Fault fault;
  if (mix == FaultMix::kAll && DrawBelow(kFaultsPerKillAll, random) == 0) {
    fault.kind = FaultKind::kKillAll;
    fault.target = FaultTarget::kFleet;
    fault.duration =
        Draw(kMinFaultMilliseconds, kMaxKillAllMilliseconds, random);
    return fault;
  }
  if (DrawBelow(kFaultsPerEvacuation, random) == 0) {
    fault.kind = FaultKind::kEvacuate;
    fault.target = FaultTarget::kZone;
    fault.number = DrawBelow(target_counts.zones, random);
    fault.duration =
        Draw(kMinEvacuationMilliseconds, kMaxEvacuationMilliseconds, random);
    return fault;
  }
  const std::size_t all =
      target_counts.controls + target_counts.entries + target_counts.servers;
  std::size_t number = DrawBelow(all, random);
  fault.target = FaultTarget::kControl;
  if (number >= target_counts.controls) {
    number -= target_counts.controls;
    fault.target = FaultTarget::kEntry;
  }
  if (fault.target == FaultTarget::kEntry && number >= target_counts.entries) {
    number -= target_counts.entries;
    fault.target = FaultTarget::kServer;
  }
  fault.number = number;
  const bool is_server = fault.target == FaultTarget::kServer;
  if (mix == FaultMix::kPlanned) {
    fault.kind = is_server
                     ? DrawKind(FaultKind::kDrain, FaultKind::kCold, random)
                     : DrawKind(FaultKind::kStop, FaultKind::kReload, random);
  } else {
    fault.kind = is_server
                     ? DrawKind(FaultKind::kDelay, FaultKind::kCold, random)
                     : DrawKind(FaultKind::kPause, FaultKind::kRefuse, random);
  }
  if (fault.kind == FaultKind::kCold) {
    fault.duration = Draw(kMinColdMilliseconds, kMaxColdMilliseconds, random);
    return fault;
  }
  if (mix == FaultMix::kPlanned) {
    // Ends after the process has exited, and after the server's notice.
    fault.duration = kMaxFaultDuration;
    return fault;
  }
  fault.duration = Draw(kMinFaultMilliseconds,
                        static_cast<int>(kMaxFaultDuration.count()), random);
  return fault;
}

bool DisturbsProcess(const Fault& fault) {
  return fault.target != FaultTarget::kServer &&
         fault.target != FaultTarget::kZone && fault.kind != FaultKind::kReload;
}

milliseconds DrawFaultPause(std::mt19937_64& random) {
  return Draw(kMinPauseMilliseconds, kMaxPauseMilliseconds, random);
}

}  // namespace coltsfootfork
