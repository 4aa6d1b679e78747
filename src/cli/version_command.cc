#include <iostream>

#include "cli/commands.h"
#include "cli/help_pages.h"

namespace coltsfootfork {

ExitCode ExecuteVersion(const std::vector<std::string>& words) {
  const Arguments arguments(kVersionHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  std::cout << "coltsfootfork " << COLTSFOOTFORK_VERSION << "\n";
  return ExitCode::kSuccess;
}

}  // namespace coltsfootfork
