#include "document_check.h"

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration_keys.h"
#include "document_reader.h"
#include "reference_check.h"
#include "shape_check.h"

namespace coltsfootfork {

std::optional<Configuration> CheckDocument(const nlohmann::json& document,
                                           Findings& findings) {
  Findings own;
  BoundedFindings bounded(own);
  CheckShape(document, ConfigurationKeys(), bounded);
  Configuration configuration = ReadDocument(document);
  CheckReferences(configuration, bounded);
  for (const Finding& finding : own.list()) {
    findings.Add(finding.place, finding.problem);
  }
  if (!own.empty()) return std::nullopt;
  return configuration;
}

}  // namespace coltsfootfork
