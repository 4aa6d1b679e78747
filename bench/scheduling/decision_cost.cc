#include "scheduling/decision_cost.h"

namespace coltsfootfork {

void MeasureDecisionCost() {}

}  // namespace coltsfootfork
