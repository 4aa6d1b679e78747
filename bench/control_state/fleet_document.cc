#include "control_state/fleet_document.h"

#include <cstdio>
#include <string>

#include "coltsfootfork/core/configuration/sha256.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kZones = 8;

std::string Name(const char* kind, std::size_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%s-%05zu", kind, number);
  return text;
}

Json WorkspaceOf(const std::string& id) {
  return {{"id", id},
          {"key_sha256", Sha256Hex(id)},
          {"weight", 2},
          {"limits",
           {{"requests_per_second", 100},
            {"tokens_per_second", 10000},
            {"concurrent_streams", 150}}}};
}

}  // namespace

std::string WorkspaceName(std::size_t place) { return Name("ws", place * 2); }

Json FleetDocument(const FleetSize& size) {
  Json inventory = {{"availability_zones", Json::array()},
                    {"services", Json::array()},
                    {"engines", Json::array()},
                    {"workspaces", Json::array()}};
  Json ranks = Json::array();
  for (std::size_t i = 0; i < kZones; ++i) {
    inventory["availability_zones"].push_back(
        {{"id", Name("zone", i)}, {"region", Name("region", i % 2)}});
  }
  for (std::size_t i = 0; i < size.services; ++i) {
    inventory["services"].push_back({{"id", Name("model", i)}});
  }
  for (std::size_t i = 0; i < size.servers; ++i) {
    inventory["engines"].push_back(
        {{"id", Name("engine", i * 2)},
         {"availability_zone", Name("zone", i % kZones)},
         {"services", {Name("model", i % size.services)}}});
  }
  for (std::size_t i = 0; i < size.workspaces; ++i) {
    inventory["workspaces"].push_back(WorkspaceOf(WorkspaceName(i)));
    if (i % 4 != 0) continue;
    ranks.push_back({{"rank", "urgent"}, {"workspace", WorkspaceName(i)}});
  }
  return {{"inventory", inventory}, {"rules", {{"ranks", ranks}}}};
}

}  // namespace coltsfootfork
