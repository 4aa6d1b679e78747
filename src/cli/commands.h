#pragma once

#include <string>
#include <vector>

#include "cli/command_line.h"

// The subcommands. Each receives the words after the program name, prints to
// the standard streams and returns the exit code.
namespace coltsfootfork {

ExitCode ExecuteRun(const std::vector<std::string>& words);
ExitCode ExecuteApply(const std::vector<std::string>& words);
ExitCode ExecuteDiff(const std::vector<std::string>& words);
ExitCode ExecuteReplay(const std::vector<std::string>& words);
ExitCode ExecuteStatus(const std::vector<std::string>& words);
ExitCode ExecuteVersion(const std::vector<std::string>& words);

}  // namespace coltsfootfork
