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

constexpr std::array<const char*, 13> kKinds = {
    "pause", "kill",          "stop",         "reload", "delay",
    "reset", "silence_there", "silence_back", "refuse", "crash",
    "drain", "deregister",    "kill_all"};
constexpr std::array<const char*, 4> kTargets = {"control", "entry", "server",
                                                 "fleet"};

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
    fault.kind =
        is_server ? DrawKind(FaultKind::kDrain, FaultKind::kDeregister, random)
                  : DrawKind(FaultKind::kStop, FaultKind::kReload, random);
    // Ends after the process has exited, and after the server's notice.
    fault.duration = kMaxFaultDuration;
    return fault;
  }
  fault.kind = is_server
                   ? DrawKind(FaultKind::kDelay, FaultKind::kDeregister, random)
                   : DrawKind(FaultKind::kPause, FaultKind::kRefuse, random);
  fault.duration = Draw(kMinFaultMilliseconds,
                        static_cast<int>(kMaxFaultDuration.count()), random);
  return fault;
}

milliseconds DrawFaultPause(std::mt19937_64& random) {
  return Draw(kMinPauseMilliseconds, kMaxPauseMilliseconds, random);
}

}  // namespace coltsfootfork
