#include "coltsfootfork/core/configuration/parse_configuration.h"

#include <nlohmann/json.hpp>

#include "bounded_findings.h"
#include "document_check.h"
#include "json_text.h"

namespace coltsfootfork {

std::optional<Configuration> ParseConfiguration(std::string_view json_text,
                                                Findings& findings) {
  Findings text_findings;
  BoundedFindings bounded(text_findings);
  const auto document = ReadJsonText(json_text, bounded);
  for (const Finding& finding : text_findings.list()) {
    findings.Add(finding.place, finding.problem);
  }
  if (!document.has_value()) return std::nullopt;
  auto configuration = CheckDocument(*document, findings);
  if (!text_findings.empty()) return std::nullopt;
  return configuration;
}

}  // namespace coltsfootfork
