#pragma once

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// Finds ids and keys that stand twice, and names of availability zones,
// services and workspaces that the inventory lacks.
void CheckReferences(const Configuration& configuration,
                     BoundedFindings& findings);

}  // namespace coltsfootfork
