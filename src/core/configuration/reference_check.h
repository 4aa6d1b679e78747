#pragma once

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration.h"

namespace coltsfootfork {

// Reports duplicate ids and keys, and references to availability zones,
// services and workspaces that are not in the inventory.
void CheckReferences(const Configuration& configuration,
                     BoundedFindings& findings);

}  // namespace coltsfootfork
