#include "coltsfootfork/core/routing/agent_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace coltsfootfork {
namespace {

// An agent and its rendezvous hash weight for one entry; the agents with the
// highest weights are chosen.
struct WeightedAgent {
  std::uint64_t weight = 0;
  const DirectoryAgent* agent = nullptr;

  friend bool operator<(const WeightedAgent& a, const WeightedAgent& b) {
    if (a.weight != b.weight) return a.weight > b.weight;
    return a.agent->process < b.agent->process;
  }
};

// The agents that offer one service, in the entry's own zone and in others.
struct Candidates {
  std::vector<WeightedAgent> own_zone;
  std::vector<WeightedAgent> other_zones;
};

std::uint64_t Weight(const ProcessId& entry, const ProcessId& agent) {
  const std::string text = entry.value() + '\n' + agent.value();
  return XXH64(text.data(), text.size(), 0);
}

void ChooseHeaviest(std::vector<WeightedAgent>& candidates, std::size_t count,
                    std::map<ProcessId, const DirectoryAgent*>& chosen) {
  const std::size_t chosen_count = std::min(count, candidates.size());
  std::partial_sort(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(chosen_count),
      candidates.end());
  for (std::size_t i = 0; i < chosen_count; ++i) {
    chosen[candidates[i].agent->process] = candidates[i].agent;
  }
}

}  // namespace

std::vector<DirectoryAgent> ChooseAgentSubset(
    const std::vector<DirectoryAgent>& directory, const ProcessId& entry,
    const ZoneId& zone, const AgentSubsetOptions& options) {
  std::map<ServiceId, Candidates> by_service;
  for (const DirectoryAgent& agent : directory) {
    const WeightedAgent weighted{Weight(entry, agent.process), &agent};
    for (const ServiceId& service : agent.services) {
      Candidates& candidates = by_service[service];
      (agent.zone == zone ? candidates.own_zone : candidates.other_zones)
          .push_back(weighted);
    }
  }
  std::map<ProcessId, const DirectoryAgent*> chosen;
  for (auto& [service, candidates] : by_service) {
    ChooseHeaviest(candidates.own_zone, options.own_zone, chosen);
    ChooseHeaviest(candidates.other_zones, options.other_zones, chosen);
  }
  std::vector<DirectoryAgent> subset;
  subset.reserve(chosen.size());
  for (const auto& [process, agent] : chosen) subset.push_back(*agent);
  return subset;
}

}  // namespace coltsfootfork
