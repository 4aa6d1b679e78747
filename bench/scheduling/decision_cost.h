#pragma once

namespace coltsfootfork {

// Prints what one decision costs against queued requests and workspaces, and
// the memory of a queued and a running request.
void MeasureDecisionCost();

}  // namespace coltsfootfork
