#include "document_reader.h"

#include <chrono>
#include <cmath>
#include <limits>
#include <string>

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

const Json& Member(const Json& object, const char* name) {
  static const Json null_value;
  if (!object.is_object()) return null_value;
  const auto found = object.find(name);
  return found == object.end() ? null_value : *found;
}

std::string Text(const Json& object, const char* name) {
  const Json& value = Member(object, name);
  return value.is_string() ? value.get<std::string>() : std::string();
}

double Number(const Json& object, const char* name, double default_value) {
  const Json& value = Member(object, name);
  return value.is_number() ? value.get<double>() : default_value;
}

std::uint32_t Count(const Json& object, const char* name) {
  const double value = Number(object, name, 0);
  const bool fits =
      value >= 0 && value <= std::numeric_limits<std::uint32_t>::max();
  return fits ? static_cast<std::uint32_t>(value) : 0;
}

template <typename D>
void ReadDuration(const Json& object, const char* name, D& duration) {
  const Json& value = Member(object, name);
  if (value.is_number_integer()) duration = D(value.get<std::int64_t>());
}

// Calls the function for each element if `list` is a JSON array.
template <typename F>
void ForEach(const Json& list, F&& function) {
  if (!list.is_array()) return;
  for (const Json& element : list) function(element);
}

template <typename I>
std::optional<I> OptionalName(const Json& object, const char* name) {
  std::string text = Text(object, name);
  if (text.empty()) return std::nullopt;
  return I(std::move(text));
}

AvailabilityZone ReadZone(const Json& value) {
  return {ZoneId(Text(value, "id")), Text(value, "region")};
}

Service ReadService(const Json& value) {
  const bool plain = Text(value, "kind") == "plain";
  return {ServiceId(Text(value, "id")),
          plain ? RequestKind::kPlainCall : RequestKind::kGeneration};
}

InventoryServer ReadServer(const Json& value) {
  InventoryServer server;
  server.id = ServerId(Text(value, "id"));
  server.zone = ZoneId(Text(value, "availability_zone"));
  ForEach(Member(value, "services"), [&server](const Json& service) {
    server.services.emplace_back(
        service.is_string() ? service.get<std::string>() : std::string());
  });
  return server;
}

Workspace ReadWorkspace(const Json& value) {
  Workspace workspace;
  workspace.id = WorkspaceId(Text(value, "id"));
  workspace.key_sha256 = Text(value, "key_sha256");
  workspace.weight = Number(value, "weight", workspace.weight);
  const Json& limits = Member(value, "limits");
  workspace.limits.requests_per_second = Count(limits, "requests_per_second");
  workspace.limits.tokens_per_second = Count(limits, "tokens_per_second");
  workspace.limits.concurrent_streams = Count(limits, "concurrent_streams");
  return workspace;
}

RankRule ReadRankRule(const Json& value) {
  RankRule rule;
  rule.rank = ParseRank(Text(value, "rank")).value_or(rule.rank);
  rule.workspace = OptionalName<WorkspaceId>(value, "workspace");
  rule.service = OptionalName<ServiceId>(value, "service");
  return rule;
}

NonIdempotentRule ReadNonIdempotentRule(const Json& value) {
  return {ServiceId(Text(value, "service")), Text(value, "method"),
          Text(value, "path_prefix")};
}

void ReadTarget(const Json& value, RankTarget& target) {
  ReadDuration(value, "first_token_ms", target.first_token);
  ReadDuration(value, "token_gap_ms", target.token_gap);
  ReadDuration(value, "start_within_ms", target.start_within);
}

void ReadRules(const Json& value, Rules& rules) {
  ForEach(Member(value, "ranks"), [&rules](const Json& rule) {
    rules.ranks.push_back(ReadRankRule(rule));
  });
  ForEach(Member(value, "non_idempotent"), [&rules](const Json& rule) {
    rules.non_idempotent.push_back(ReadNonIdempotentRule(rule));
  });
  const Json& targets = Member(value, "targets");
  ReadTarget(Member(targets, "urgent"),
             rules.targets[RankIndex(Rank::kUrgent)]);
  ReadTarget(Member(targets, "deferrable"),
             rules.targets[RankIndex(Rank::kDeferrable)]);
  rules.deferrable_floor =
      Number(value, "deferrable_floor", rules.deferrable_floor);
  ReadDuration(value, "claim_retention_s", rules.claim_retention);
}

}  // namespace

Configuration ReadDocument(const Json& document) {
  Configuration configuration;
  const Json& inventory = Member(document, "inventory");
  ForEach(Member(inventory, "availability_zones"), [&](const Json& zone) {
    configuration.zones.push_back(ReadZone(zone));
  });
  ForEach(Member(inventory, "services"), [&](const Json& service) {
    configuration.services.push_back(ReadService(service));
  });
  ForEach(Member(inventory, "engines"), [&](const Json& server) {
    configuration.servers.push_back(ReadServer(server));
  });
  ForEach(Member(inventory, "workspaces"), [&](const Json& workspace) {
    configuration.workspaces.push_back(ReadWorkspace(workspace));
  });
  ReadRules(Member(document, "rules"), configuration.rules);
  return configuration;
}

}  // namespace coltsfootfork
