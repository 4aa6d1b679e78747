#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

// Locations in a routing plan. Whoever decoded the plan from a document maps
// them to locations in that document.
namespace coltsfootfork {

enum class PlanPart : std::uint8_t {
  kPlan = 0,
  kRoute,
  kService,
  kWorkspace,
  kLimits,
};

enum class PlanField : std::uint8_t {
  // The whole part.
  kNone = 0,
  kVersion,
  kNeedsKeys,
  kName,
  kHost,
  kPathPrefix,
  kKind,
  kTimeout,
  kLatencyGoal,
  kPauseGoal,
  kRank,
  kTargets,
  // The weight of one of the route's services.
  kTargetWeight,
  kMaxAttempts,
  kIsPublic,
  kResumable,
  kRegions,
  kHealthPath,
  kMaxConnections,
  kColdRequestRate,
  kColdPeriod,
  kEngine,
  kSlots,
  kMemoryTokens,
  kBytesPerToken,
  kLinkMegabits,
  kMoves,
  kBackups,
  kTokensPerEvent,
  kKeys,
  kHeaderBytes,
  kBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
};

struct PlanPlace {
  PlanPart part = PlanPart::kPlan;
  // Position in the plan's list of routes, services or workspaces.
  std::size_t index = 0;
  PlanField field = PlanField::kNone;
  // Position in the field, if it is a list and one element is meant.
  std::optional<std::size_t> element;
};

}  // namespace coltsfootfork
