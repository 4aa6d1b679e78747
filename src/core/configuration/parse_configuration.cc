#include "coltsfootfork/core/configuration/parse_configuration.h"

#include <nlohmann/json.hpp>

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration_keys.h"
#include "document_reader.h"
#include "json_text.h"
#include "reference_check.h"
#include "shape_check.h"

namespace coltsfootfork {

std::optional<Configuration> ParseConfiguration(std::string_view json_text,
                                                Findings& findings) {
  Findings own;
  BoundedFindings bounded(own);
  std::optional<Configuration> configuration;
  const auto document = ReadJsonText(json_text, bounded);
  if (document.has_value()) {
    CheckShape(*document, ConfigurationKeys(), bounded);
    configuration = ReadDocument(*document);
    CheckReferences(*configuration, bounded);
  }
  for (const Finding& finding : own.list()) {
    findings.Add(finding.place, finding.problem);
  }
  if (!own.empty()) return std::nullopt;
  return configuration;
}

}  // namespace coltsfootfork
