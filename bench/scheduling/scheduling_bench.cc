// Compares the agent's policies and measures what its decisions cost. With
// the argument "policies" or "cost" it does only that; "policies TEXT" runs
// only the scenarios whose names contain the text.

#include <string_view>

#include "scheduling/decision_cost.h"
#include "scheduling/policy_comparison.h"

int main(int argc, char** argv) {
  const std::string_view part = argc > 1 ? argv[1] : "all";
  const std::string_view only = argc > 2 ? argv[2] : "";
  if (part != "cost") coltsfootfork::ComparePolicies(only);
  if (part != "policies") coltsfootfork::MeasureDecisionCost();
  return 0;
}
