#include "coltsfootfork/core/scheduling/inventory_view.h"

#include <algorithm>
#include <vector>

namespace coltsfootfork {

EngineAnnouncement RestrictToInventory(const EngineAnnouncement& announced,
                                       const Configuration& configuration) {
  EngineAnnouncement allowed = announced;
  const auto& servers = configuration.servers;
  const auto server = std::find_if(servers.begin(), servers.end(),
                                   [&](const InventoryServer& candidate) {
                                     return candidate.id == announced.server;
                                   });
  if (server == servers.end()) {
    allowed.draining = true;
    return allowed;
  }
  const auto unlisted = [&](const ServiceId& service) {
    return std::find(server->services.begin(), server->services.end(),
                     service) == server->services.end();
  };
  allowed.services.erase(std::remove_if(allowed.services.begin(),
                                        allowed.services.end(), unlisted),
                         allowed.services.end());
  return allowed;
}

}  // namespace coltsfootfork
