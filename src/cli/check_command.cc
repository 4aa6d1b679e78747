#include <iostream>

#include "cli/commands.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "shell/process/settings.h"

namespace coltsfootfork {

ExitCode ExecuteCheck(const std::vector<std::string>& words) {
  const Arguments arguments(kCheckHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  const std::string settings = arguments.Text("--settings");
  Findings findings;
  if (settings.empty()) {
    ParseConfiguration(ReadTextFile(arguments.Text("--configuration")),
                       findings);
  } else {
    ParseSettings(ReadTextFile(settings), findings);
  }
  if (!findings.empty()) {
    std::cout << findings.ToText();
    return ExitCode::kFailed;
  }
  std::cout << "no findings\n";
  return ExitCode::kSuccess;
}

}  // namespace coltsfootfork
