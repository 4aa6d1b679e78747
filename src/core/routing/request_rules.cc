#include "core/routing/request_rules.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

bool Matches(const RankRule& rule, const RuleSubject& subject) {
  return rule.workspace.value_or(subject.workspace) == subject.workspace &&
         rule.service.value_or(subject.service) == subject.service;
}

bool Matches(const NonIdempotentRule& rule, const RuleSubject& subject) {
  return rule.service == subject.service &&
         (rule.method.empty() || rule.method == subject.method) &&
         subject.target.compare(0, rule.path_prefix.size(), rule.path_prefix) ==
             0;
}

}  // namespace

RequestRules LookUpRules(const Configuration& configuration,
                         const RuleSubject& subject) {
  RequestRules found;
  for (const Service& service : configuration.services) {
    if (service.id == subject.service) found.known_service = true;
  }
  const Rules& rules = configuration.rules;
  const auto rank = std::find_if(
      rules.ranks.begin(), rules.ranks.end(),
      [&](const RankRule& rule) { return Matches(rule, subject); });
  if (rank != rules.ranks.end()) found.rank = rank->rank;
  found.non_idempotent = std::any_of(
      rules.non_idempotent.begin(), rules.non_idempotent.end(),
      [&](const NonIdempotentRule& rule) { return Matches(rule, subject); });
  found.target = rules.targets[RankIndex(found.rank)];
  for (const Workspace& workspace : configuration.workspaces) {
    if (workspace.id == subject.workspace) found.limits = workspace.limits;
  }
  return found;
}

}  // namespace coltsfootfork
