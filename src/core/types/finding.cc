#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : list_) {
    text += finding.place + ": ";
    if (finding.severity == Severity::kWarning) text += "warning: ";
    text += finding.problem + "\n";
  }
  return text;
}

}  // namespace coltsfootfork
