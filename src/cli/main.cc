#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "cli/check_command.h"
#include "cli/commands.h"
#include "cli/help_pages.h"
#include "plan_check.h"
#include "platform_command.h"
#include "shell/log/event.h"

namespace coltsfootfork {
namespace {

using Command = ExitCode (*)(const std::vector<std::string>& words);

ExitCode Check(const std::vector<std::string>& words) {
  return ExecuteCheck(words, platform::MakePlanFormat());
}

struct NamedCommand {
  const char* name;
  Command command;
};

constexpr NamedCommand kCommands[] = {
    {"run", ExecuteRun},         {"check", Check},
    {"apply", ExecuteApply},     {"diff", ExecuteDiff},
    {"replay", ExecuteReplay},   {"status", ExecuteStatus},
    {"version", ExecuteVersion},
};

ExitCode Main(const std::vector<std::string>& words) {
  if (words.empty() || words.front() == "--help" || words.front() == "help") {
    (words.empty() ? std::cerr : std::cout) << kMainHelp;
    return words.empty() ? ExitCode::kUsage : ExitCode::kSuccess;
  }
  for (const NamedCommand& named : kCommands) {
    if (words.front() == named.name) return named.command(words);
  }
  std::cerr << "unknown command: " << words.front() << "\n\n" << kMainHelp;
  return ExitCode::kUsage;
}

}  // namespace
}  // namespace coltsfootfork

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  // On the platform the threads of the log library cannot be joined, so they
  // are not stopped.
  const bool on_platform = !words.empty() && words.front() == "platform";
  if (!on_platform) coltsfootfork::EndLogThreads();
  try {
    if (on_platform) return coltsfootfork::platform::ExecutePlatform(words);
    return static_cast<int>(coltsfootfork::Main(words));
  } catch (const std::exception& error) {
    std::cerr << "coltsfootfork: " << error.what() << "\n";
    return static_cast<int>(coltsfootfork::ExitCode::kFailed);
  }
}
