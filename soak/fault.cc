#include "soak/fault.h"

#include <array>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr int kMinFaultMilliseconds = 50;
constexpr int kMinPauseMilliseconds = 50;
constexpr int kMaxPauseMilliseconds = 700;

constexpr std::array<const char*, 11> kKinds = {
    "pause",         "kill",         "stop",   "reload", "delay", "reset",
    "silence_there", "silence_back", "refuse", "crash",  "drain"};
constexpr std::array<const char*, 3> kTargets = {"control", "entry", "server"};

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

Fault DrawFault(const FaultTargetCounts& target_counts,
                std::mt19937_64& random) {
  Fault fault;
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
  fault.kind = fault.target == FaultTarget::kServer
                   ? DrawKind(FaultKind::kDelay, FaultKind::kDrain, random)
                   : DrawKind(FaultKind::kPause, FaultKind::kRefuse, random);
  fault.duration = Draw(kMinFaultMilliseconds,
                        static_cast<int>(kMaxFaultDuration.count()), random);
  return fault;
}

milliseconds DrawFaultPause(std::mt19937_64& random) {
  return Draw(kMinPauseMilliseconds, kMaxPauseMilliseconds, random);
}

}  // namespace coltsfootfork
