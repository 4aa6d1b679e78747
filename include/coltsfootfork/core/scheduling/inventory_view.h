#pragma once

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/engine_messages.h"

namespace coltsfootfork {

// An announcement as the inventory allows it to count: only the services that
// the inventory lists for the server, and leaving once the inventory lists the
// server no more, so that it gets nothing new and ends what it runs.
EngineAnnouncement RestrictToInventory(const EngineAnnouncement& announced,
                                       const Configuration& configuration);

}  // namespace coltsfootfork
