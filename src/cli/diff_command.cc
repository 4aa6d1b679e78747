#include <iostream>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "coltsfootfork/core/configuration/diff_configurations.h"

namespace coltsfootfork {
namespace {

ExitCode PrintDifference(const std::string& before, const std::string& after) {
  Findings findings;
  const auto changes = DiffConfigurations(before, after, findings);
  if (!changes) {
    std::cerr << findings.ToText();
    return ExitCode::kUsage;
  }
  for (const ConfigurationChange& change : *changes) {
    std::cout << change.ToText() << "\n";
  }
  return changes->empty() ? ExitCode::kSuccess : ExitCode::kFailed;
}

}  // namespace

ExitCode ExecuteDiff(const std::vector<std::string>& words) {
  const Arguments arguments(kDiffHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  const std::string after = ReadTextFile(arguments.Text("<after>"));
  std::string before;
  if (arguments.Text("--admin").empty()) {
    before = ReadTextFile(arguments.Text("<before>"));
  } else {
    const AdminClient client(arguments.Text("--admin"),
                             arguments.Text("--token-file"));
    const HttpFetchResult current =
        client.FetchWithRetries("GET", "/admin/v1/configuration", {}, "");
    constexpr int kOk = 200;
    if (!current.response || current.response->status != kOk) {
      std::cerr << "no response: " << current.problem << "\n";
      return ExitCode::kNoResponse;
    }
    before = current.response->body;
  }
  return PrintDifference(before, after);
}

}  // namespace coltsfootfork
