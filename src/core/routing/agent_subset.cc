#include "coltsfootfork/core/routing/agent_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace coltsfootfork {
namespace {

// An agent with its weight for one entry; the heaviest are chosen.
struct WeighedAgent {
  std::uint64_t weight = 0;
  const DirectoryAgent* agent = nullptr;

  friend bool operator<(const WeighedAgent& a, const WeighedAgent& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    return a.agent->process < b.agent->process;
  }
};

// The agents that offer one service, of the entry's zone and of others.
struct Candidates {
  std::vector<WeighedAgent> own_zone;
  std::vector<WeighedAgent> other_zones;
};

std::uint64_t Weight(const ProcessId& entry, const ProcessId& agent) {
  const std::string text = entry.value() + '\n' + agent.value();
  return XXH64(text.data(), text.size(), 0);
}

void TakeHeaviest(std::vector<WeighedAgent>& candidates, std::size_t count,
                  std::map<ProcessId, const DirectoryAgent*>& chosen) {
  const std::size_t taken = std::min(count, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                    candidates.end());
  for (std::size_t i = 0; i < taken; ++i) {
    chosen[candidates[i].agent->process] = candidates[i].agent;
  }
}

}  // namespace

std::vector<DirectoryAgent> ChooseAgentSubset(
    const std::vector<DirectoryAgent>& directory, const ProcessId& entry,
    const ZoneId& zone, const AgentSubsetOptions& options) {
  std::map<ServiceId, Candidates> by_service;
  for (const DirectoryAgent& agent : directory) {
    const WeighedAgent weighed{Weight(entry, agent.process), &agent};
    for (const ServiceId& service : agent.services) {
      Candidates& candidates = by_service[service];
      (agent.zone == zone ? candidates.own_zone : candidates.other_zones)
          .push_back(weighed);
    }
  }
  std::map<ProcessId, const DirectoryAgent*> chosen;
  for (auto& [service, candidates] : by_service) {
    TakeHeaviest(candidates.own_zone, options.own_zone, chosen);
    TakeHeaviest(candidates.other_zones, options.other_zones, chosen);
  }
  std::vector<DirectoryAgent> subset;
  subset.reserve(chosen.size());
  for (const auto& [process, agent] : chosen) subset.push_back(*agent);
  return subset;
}

}  // namespace coltsfootfork
