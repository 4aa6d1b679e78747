#include "coltsfootfork/core/fleet/server_load.h"

#include <algorithm>

namespace coltsfootfork {

std::vector<LoadEntry> ToList(const FleetLoad& load) {
  std::vector<LoadEntry> list;
  list.reserve(load.size());
  for (const auto& [id, server_load] : load) list.push_back({id, server_load});
  return list;
}

FleetLoad ToFleetLoad(const std::vector<LoadEntry>& list) {
  FleetLoad load;
  for (const LoadEntry& entry : list) load[entry.server] = entry.load;
  return load;
}

void AddLoad(FleetLoad& sum, const FleetLoad& more) {
  for (const auto& [server, load] : more) {
    sum[server].calls += load.calls;
    sum[server].tokens += load.tokens;
    sum[server].pending_prefill_tokens += load.pending_prefill_tokens;
  }
}

void SubtractLoad(FleetLoad& sum, const FleetLoad& part) {
  for (const auto& [server, load] : part) {
    const auto found = sum.find(server);
    if (found == sum.end()) continue;
    found->second.calls -= std::min(found->second.calls, load.calls);
    found->second.tokens -= std::min(found->second.tokens, load.tokens);
    found->second.pending_prefill_tokens -= std::min(
        found->second.pending_prefill_tokens, load.pending_prefill_tokens);
  }
}

}  // namespace coltsfootfork
