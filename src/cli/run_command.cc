#include <boost/asio/io_context.hpp>
#include <iostream>
#include <utility>

#include "cli/commands.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "shell/log/event.h"
#include "shell/process/process.h"
#include "shell/process/settings.h"

namespace coltsfootfork {

ExitCode ExecuteRun(const std::vector<std::string>& words) {
  const Arguments arguments(kRunHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  const std::string path = arguments.Text("--settings");
  Findings findings;
  std::optional<Settings> settings =
      ParseSettings(ReadTextFile(path), findings);
  if (!settings) {
    std::cerr << path << ": not started\n" << findings.ToText();
    return ExitCode::kFailed;
  }
  if (!arguments.Text("--record").empty() && !settings->entry) {
    std::cerr << path << ": not started\n/entry: is missing, so that there is "
              << "nothing to record\n";
    return ExitCode::kFailed;
  }
  settings->record_path = arguments.Text("--record");
  settings->record_bodies = arguments.Flag("--record-bodies");
  StartLog(settings->log_level);
  boost::asio::io_context io(1);
  Process process(io, std::move(*settings));
  std::cout << process.AddressLine() << std::endl;
  io.run();
  return ExitCode::kSuccess;
}

}  // namespace coltsfootfork
