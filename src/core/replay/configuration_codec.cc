#include "core/replay/configuration_codec.h"

#include <array>
#include <string_view>

namespace coltsfootfork {
namespace {

using nlohmann::json;

// In the order of the variant's alternatives.
constexpr std::array<std::string_view, 3> kPolicyNames = {
    "lowest_cost", "round_robin", "least_outstanding"};

template <typename Value>
std::optional<Value> OptionalMember(const json& j, const char* key) {
  const auto found = j.find(key);
  if (found == j.end()) return std::nullopt;
  return found->get<Value>();
}

}  // namespace

void to_json(json& j, const RankRule& rule) {
  j = json{{"rank", rule.rank}};
  if (rule.workspace) j["workspace"] = *rule.workspace;
  if (rule.service) j["service"] = *rule.service;
}

void from_json(const json& j, RankRule& rule) {
  rule.rank = j.at("rank").get<Rank>();
  rule.workspace = OptionalMember<WorkspaceId>(j, "workspace");
  rule.service = OptionalMember<ServiceId>(j, "service");
}

void to_json(json& j, const Rules& rules) {
  j = json{{"ranks", rules.ranks},
           {"non_idempotent", rules.non_idempotent},
           {"deferrable_floor", rules.deferrable_floor},
           {"claim_retention", rules.claim_retention}};
  for (Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
    j["targets"][std::string(RankName(rank))] = rules.targets[RankIndex(rank)];
  }
}

void from_json(const json& j, Rules& rules) {
  const Rules defaults;
  rules.ranks = j.value("ranks", defaults.ranks);
  rules.non_idempotent = j.value("non_idempotent", defaults.non_idempotent);
  rules.deferrable_floor =
      j.value("deferrable_floor", defaults.deferrable_floor);
  rules.claim_retention = j.value("claim_retention", defaults.claim_retention);
  const json targets = j.value("targets", json::object());
  for (Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
    rules.targets[RankIndex(rank)] =
        targets.value(std::string(RankName(rank)), RankTarget{});
  }
}

void to_json(json& j, const ChoicePolicy& policy) {
  j = kPolicyNames.at(policy.index());
}

void from_json(const json& j, ChoicePolicy& policy) {
  const auto& name = j.get_ref<const std::string&>();
  if (name == kPolicyNames[1]) {
    policy = RoundRobinPolicy{};
  } else if (name == kPolicyNames[2]) {
    policy = LeastOutstandingPolicy{};
  } else {
    policy = LowestCostPolicy{};
  }
}

}  // namespace coltsfootfork
