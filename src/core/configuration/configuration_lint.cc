#include "coltsfootfork/core/configuration/configuration_lint.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "document_reader.h"
#include "json_text.h"

namespace coltsfootfork {
namespace {

bool HasFindingIn(const Findings& findings, const std::string& part) {
  const auto& list = findings.list();
  return std::any_of(list.begin(), list.end(), [&](const Finding& finding) {
    return finding.place.compare(0, part.size(), part) == 0;
  });
}

void LintRankRules(const Configuration& configuration, Findings& findings) {
  // The first rule of each workspace and service; empty names match all.
  std::map<std::pair<WorkspaceId, ServiceId>, std::size_t> first_rules;
  const auto& rules = configuration.rules.ranks;
  for (std::size_t i = 0; i < rules.size(); ++i) {
    const WorkspaceId workspace = rules[i].workspace.value_or(WorkspaceId());
    const ServiceId service = rules[i].service.value_or(ServiceId());
    std::size_t first = i;
    for (const auto& scope :
         {std::pair(workspace, service), std::pair(workspace, ServiceId()),
          std::pair(WorkspaceId(), service),
          std::pair(WorkspaceId(), ServiceId())}) {
      const auto found = first_rules.find(scope);
      if (found != first_rules.end()) first = std::min(first, found->second);
    }
    if (first < i) {
      findings.Add(ChildPointer("/rules/ranks", i),
                   "never matches: rule " + std::to_string(first) +
                       " matches all of its requests first");
    } else {
      first_rules.emplace(std::pair(workspace, service), i);
    }
  }
}

void LintServices(const Configuration& configuration, Findings& findings) {
  std::set<ServiceId> served;
  for (const InventoryServer& server : configuration.servers) {
    served.insert(server.services.begin(), server.services.end());
  }
  for (std::size_t i = 0; i < configuration.services.size(); ++i) {
    const ServiceId& service = configuration.services[i].id;
    if (served.count(service) > 0) continue;
    findings.Add(ChildPointer("/inventory/services", i),
                 "no engine serves " + service.value(), Severity::kWarning);
  }
}

}  // namespace

Findings LintConfiguration(std::string_view json_text) {
  Findings findings;
  ParseConfiguration(json_text, findings);
  Findings text_findings;
  BoundedFindings bounded(text_findings);
  const auto document = ReadJsonText(json_text, bounded);
  if (!document.has_value()) return findings;
  const Configuration configuration = ReadDocument(*document);
  // Unreadable fields have their default values, which match all.
  if (!HasFindingIn(findings, "/rules")) {
    LintRankRules(configuration, findings);
  }
  if (!HasFindingIn(findings, "/inventory")) {
    LintServices(configuration, findings);
  }
  return findings;
}

}  // namespace coltsfootfork
