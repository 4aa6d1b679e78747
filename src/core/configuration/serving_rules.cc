#include "coltsfootfork/core/configuration/serving_rules.h"

#include <algorithm>
#include <utility>

#include "coltsfootfork/core/configuration/sha256.h"
#include "request_path.h"

namespace coltsfootfork {
namespace {

char ToUpper(char c) {
  return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
}

// Some servers accept a method in any case, so the rules ignore case as well.
bool SameMethod(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToUpper(x) == ToUpper(y); });
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

template <typename Map, typename Key>
typename Map::mapped_type FindOrNull(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

ServingRules::ServingRules(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  IndexEntities();
  IndexRules();
}

void ServingRules::IndexEntities() {
  for (const Workspace& workspace : configuration_->workspaces) {
    workspaces_.emplace(workspace.id, &workspace);
    workspaces_by_key_.emplace(workspace.key_sha256, &workspace);
  }
  for (const Service& service : configuration_->services) {
    services_.emplace(service.id, &service);
  }
  for (const InventoryServer& server : configuration_->servers) {
    servers_.emplace(server.id, &server);
  }
}

void ServingRules::IndexRules() {
  const Rules& rules = configuration_->rules;
  for (std::size_t i = 0; i < rules.ranks.size(); ++i) {
    const RankRule& rule = rules.ranks[i];
    // Only the first rule of a scope is indexed, because it takes precedence
    // over later ones.
    first_rank_rules_.emplace(RankScope{rule.workspace.value_or(WorkspaceId()),
                                        rule.service.value_or(ServiceId())},
                              i);
  }
  for (const NonIdempotentRule& rule : rules.non_idempotent) {
    non_idempotent_[rule.service].push_back(&rule);
  }
}

std::size_t ServingRules::FirstRule(const WorkspaceId& workspace,
                                    const ServiceId& service) const {
  const auto found = first_rank_rules_.find({workspace, service});
  return found == first_rank_rules_.end() ? configuration_->rules.ranks.size()
                                          : found->second;
}

Rank ServingRules::RankOf(const WorkspaceId& workspace,
                          const ServiceId& service) const {
  const auto& rules = configuration_->rules.ranks;
  const std::size_t first = std::min({FirstRule(workspace, service),
                                      FirstRule(workspace, ServiceId()),
                                      FirstRule(WorkspaceId(), service),
                                      FirstRule(WorkspaceId(), ServiceId())});
  return first < rules.size() ? rules[first].rank : Rank::kDeferrable;
}

bool ServingRules::IsNonIdempotent(const ServiceId& service,
                                   std::string_view method,
                                   std::string_view path) const {
  const auto found = non_idempotent_.find(service);
  if (found == non_idempotent_.end()) return false;
  const std::string normalized = NormalizePath(path);
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](const NonIdempotentRule* rule) {
        return (rule->method.empty() || SameMethod(rule->method, method)) &&
               (StartsWith(path, rule->path_prefix) ||
                StartsWith(normalized, rule->path_prefix));
      });
}

const Workspace* ServingRules::FindWorkspaceByKey(
    std::string_view bearer_key) const {
  // The lookup uses the digest, so its timing reveals at most parts of a stored
  // digest, which don't help to find a key. The final comparison takes constant
  // time.
  const std::string digest = Sha256Hex(bearer_key);
  const Workspace* workspace = FindOrNull(workspaces_by_key_, digest);
  if (workspace == nullptr) return nullptr;
  return EqualInConstantTime(workspace->key_sha256, digest) ? workspace
                                                            : nullptr;
}

const Workspace* ServingRules::FindWorkspace(const WorkspaceId& id) const {
  return FindOrNull(workspaces_, id);
}

const Service* ServingRules::FindService(const ServiceId& id) const {
  return FindOrNull(services_, id);
}

const InventoryServer* ServingRules::FindServer(const ServerId& id) const {
  return FindOrNull(servers_, id);
}

const RankTarget& ServingRules::TargetOf(Rank rank) const {
  return configuration_->rules.targets[RankIndex(rank)];
}

}  // namespace coltsfootfork
