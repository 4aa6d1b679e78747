#include "coltsfootfork/core/routing/agent_subset.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace coltsfootfork {
namespace {

constexpr std::size_t kAgents = 870;
constexpr std::size_t kServices = 32;
constexpr std::size_t kZones = 8;
constexpr std::size_t kEntries = 40;

std::vector<DirectoryAgent> Directory() {
  std::vector<DirectoryAgent> directory(kAgents);
  for (std::size_t i = 0; i < kAgents; ++i) {
    directory[i].process = ProcessId("agent-" + std::to_string(i));
    directory[i].zone = ZoneId("zone-" + std::to_string(i % kZones));
    directory[i].services = {
        ServiceId("model-" + std::to_string((i / kZones) % kServices))};
  }
  return directory;
}

std::set<ProcessId> Subset(const std::vector<DirectoryAgent>& directory,
                           std::size_t entry) {
  std::set<ProcessId> names;
  for (const DirectoryAgent& agent :
       ChooseAgentSubset(directory, ProcessId("entry-" + std::to_string(entry)),
                         ZoneId("zone-" + std::to_string(entry % kZones)))) {
    names.insert(agent.process);
  }
  return names;
}

BOOST_AUTO_TEST_CASE(SubsetsAreBoundedAndCoverEveryAgentAndService) {
  const auto directory = Directory();
  const AgentSubsetOptions options;
  std::map<ProcessId, std::size_t> links;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    const auto subset = Subset(directory, entry);
    BOOST_TEST(subset.size() <=
               kServices * (options.own_zone + options.other_zones));
    std::set<ServiceId> services;
    for (const DirectoryAgent& agent : directory) {
      if (subset.count(agent.process) == 0) continue;
      services.insert(agent.services.front());
      ++links[agent.process];
    }
    BOOST_TEST(services.size() == kServices);
  }
  BOOST_TEST(links.size() == kAgents);
}

BOOST_AUTO_TEST_CASE(RemovingAnAgentChangesAtMostOneLink) {
  auto directory = Directory();
  const auto before = Subset(directory, 3);
  const ProcessId lost = *before.begin();
  directory.erase(std::find_if(
      directory.begin(), directory.end(),
      [&](const DirectoryAgent& agent) { return agent.process == lost; }));
  const auto after = Subset(directory, 3);
  std::size_t added = 0;
  for (const ProcessId& agent : after) added += 1 - before.count(agent);
  BOOST_TEST(added <= 1U);
}

BOOST_AUTO_TEST_CASE(SmallFleetIsChosenCompletely) {
  std::vector<DirectoryAgent> directory(2);
  directory[0].process = ProcessId("agent-0");
  directory[1].process = ProcessId("agent-1");
  for (DirectoryAgent& agent : directory) {
    agent.services = {ServiceId("mirror")};
  }
  BOOST_TEST(Subset(directory, 0).size() == 2U);
}

}  // namespace
}  // namespace coltsfootfork
