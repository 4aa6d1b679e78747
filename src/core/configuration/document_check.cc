#include "document_check.h"

#include "bounded_findings.h"
#include "coltsfootfork/core/configuration/configuration_keys.h"
#include "document_reader.h"
#include "reference_check.h"
#include "schema_check.h"

namespace coltsfootfork {

std::optional<Configuration> CheckDocument(const nlohmann::json& document,
                                           Findings& findings) {
  Findings document_findings;
  BoundedFindings bounded(document_findings);
  CheckSchema(document, ConfigurationKeys(), bounded);
  Configuration configuration = ReadDocument(document);
  CheckReferences(configuration, bounded);
  for (const Finding& finding : document_findings.list()) {
    findings.Add(finding.place, finding.problem);
  }
  if (!document_findings.empty()) return std::nullopt;
  return configuration;
}

}  // namespace coltsfootfork
