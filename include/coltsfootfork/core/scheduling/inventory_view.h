#pragma once

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/engine_messages.h"

namespace coltsfootfork {

// Restricts an announcement to the inventory: drops services that the inventory
// does not list for the server, and marks an unlisted server as leaving, so
// that it receives no new requests and completes its running ones.
EngineAnnouncement RestrictToInventory(const EngineAnnouncement& announced,
                                       const Configuration& configuration);

}  // namespace coltsfootfork
