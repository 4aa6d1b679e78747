#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coltsfootfork/core/gateway/plan_place.h"
#include "coltsfootfork/core/gateway/routing_plan.h"

namespace coltsfootfork {

enum class PlanChangeKind : std::uint8_t { kAdded = 0, kRemoved, kChanged };

// One difference between two routing plans: an added or removed part, or a
// changed field.
struct PlanChange {
  PlanChangeKind kind = PlanChangeKind::kChanged;
  // In the later plan, or in the earlier one for a removal.
  PlanPlace place;
  // Name of the route, service or workspace; empty for other parts.
  std::string name;
  // The field's values; empty for added and removed parts.
  std::string before;
  std::string after;
};

// Returns what `after` changes: first the routes, then the services, limits and
// workspaces. Routes are identified by host and prefix, or else by their names;
// services and workspaces by their names. Their order makes no difference. API
// keys are counted, but not disclosed.
std::vector<PlanChange> DiffRoutingPlans(const RoutingPlan& before,
                                         const RoutingPlan& after);

}  // namespace coltsfootfork
