#include <iostream>
#include <sstream>

#include "cli/commands.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "coltsfootfork/core/replay/outcomes.h"
#include "coltsfootfork/core/replay/replay_trace.h"

namespace coltsfootfork {

ExitCode ExecuteReplay(const std::vector<std::string>& words) {
  const Arguments arguments(kReplayHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  Outcomes outcomes;
  const std::string expected = arguments.Text("--expect");
  if (!expected.empty()) {
    Findings findings;
    const auto parsed = ParseOutcomes(ReadTextFile(expected), &findings);
    if (!parsed) {
      std::cout << findings.ToText();
      return ExitCode::kFailed;
    }
    outcomes = *parsed;
  }
  std::istringstream trace(ReadTextFile(arguments.Text("<trace>")));
  const ReplayReport report = ReplayTrace(trace, outcomes);
  std::cout << report.ToText();
  return report.ok() ? ExitCode::kSuccess : ExitCode::kFailed;
}

}  // namespace coltsfootfork
