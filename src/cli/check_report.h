#pragma once

#include <string>
#include <vector>

#include "cli/command_line.h"
#include "coltsfootfork/core/configuration/diff_configurations.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// The result of checking one file.
struct CheckReport {
  Findings findings;
  // Checks that were skipped for lack of an argument, each as one line.
  std::vector<std::string> not_checked;
  // Whether the file was compared with the configuration in force, and the
  // differences, which are not findings.
  bool is_compared = false;
  std::vector<ConfigurationChange> changes;

  std::string ToText() const;
  // The same as a JSON object, with a newline at its end.
  std::string ToJson() const;
  ExitCode exit_code() const {
    return findings.empty() ? ExitCode::kSuccess : ExitCode::kFailed;
  }
};

}  // namespace coltsfootfork
