#include "cli/check_command.h"

#include <cstdlib>
#include <iostream>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "cli/admin_client.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "coltsfootfork/core/configuration/configuration_lint.h"
#include "shell/process/settings.h"

namespace coltsfootfork {
namespace {

constexpr char kConfigurationPath[] = "/admin/v1/configuration";

// Ends the command with a message for the operator.
struct CheckFailure {
  ExitCode exit_code;
  std::string message;
};

std::string ReadFile(const std::string& path) {
  try {
    return ReadTextFile(path);
  } catch (const std::runtime_error& error) {
    throw CheckFailure{ExitCode::kUsage, error.what()};
  }
}

AdminClient MakeClient(const Arguments& arguments) {
  try {
    return {arguments.Text("--admin"), arguments.Text("--token-file")};
  } catch (const std::runtime_error& error) {
    throw CheckFailure{ExitCode::kUsage, error.what()};
  }
}

// Ends the command because the document in force cannot be read.
CheckFailure InForceFailure(const Arguments& arguments,
                            const Findings& findings) {
  const bool is_file = !arguments.Text("--against").empty();
  return {is_file ? ExitCode::kUsage : ExitCode::kNoResponse,
          "the version in force cannot be read:\n" + findings.ToText()};
}

// Returns the document in force, or nullopt if the arguments name none.
std::optional<std::string> ReadInForce(const Arguments& arguments,
                                       const std::string& path) {
  const std::string file = arguments.Text("--against");
  if (!file.empty()) return ReadFile(file);
  if (arguments.Text("--admin").empty()) return std::nullopt;
  const HttpFetchResult result =
      MakeClient(arguments).FetchWithRetries("GET", path, {}, "");
  if (!result.response) {
    throw CheckFailure{ExitCode::kNoResponse, "no response: " + result.problem};
  }
  constexpr int kOk = 200;
  if (result.response->status != kOk) {
    throw CheckFailure{ExitCode::kNoResponse,
                       "response with status " +
                           std::to_string(result.response->status) + ": " +
                           result.response->body};
  }
  return result.response->body;
}

PlanCheckOptions ReadPlanOptions(const Arguments& arguments) {
  PlanCheckOptions options;
  std::istringstream names(arguments.Text("--regions"));
  for (std::string name; std::getline(names, name, ',');) {
    if (!options.regions) options.regions.emplace();
    if (!name.empty()) options.regions->insert(RegionId(name));
  }
  if (options.regions && options.regions->empty()) {
    throw CheckFailure{ExitCode::kUsage, "--regions: must be names"};
  }
  const std::string memory = arguments.Text("--memory-mb");
  if (memory.empty()) return options;
  // More than any host has; the value in bytes stays far below 2^64.
  constexpr std::uint64_t kMaxMemoryMb = 1'000'000'000;
  constexpr int kBytesPerMbBits = 20;
  const bool has_digits_only =
      memory.find_first_not_of("0123456789") == std::string::npos;
  const std::uint64_t megabytes =
      has_digits_only ? std::strtoull(memory.c_str(), nullptr, 10) : 0;
  if (megabytes == 0 || megabytes > kMaxMemoryMb) {
    throw CheckFailure{ExitCode::kUsage,
                       "--memory-mb: must be a whole number above 0"};
  }
  options.entry_memory_bytes = megabytes << kBytesPerMbBits;
  return options;
}

CheckReport CheckConfiguration(const Arguments& arguments) {
  const std::string text = ReadFile(arguments.Text("--configuration"));
  const auto in_force = ReadInForce(arguments, kConfigurationPath);
  CheckReport report;
  report.findings = LintConfiguration(text);
  if (!in_force) return report;
  Findings in_force_findings;
  if (!DiffConfigurations(*in_force, *in_force, in_force_findings)) {
    throw InForceFailure(arguments, in_force_findings);
  }
  // If the file cannot be read, its findings say so already.
  Findings ignored;
  auto changes = DiffConfigurations(*in_force, text, ignored);
  report.is_compared = changes.has_value();
  if (changes) report.changes = std::move(*changes);
  return report;
}

CheckReport Check(const Arguments& arguments, const PlanFormat& plan_format) {
  const std::string settings = arguments.Text("--settings");
  if (!settings.empty()) {
    CheckReport report;
    ParseSettings(ReadFile(settings), report.findings);
    return report;
  }
  if (!arguments.Text("--configuration").empty()) {
    return CheckConfiguration(arguments);
  }
  const PlanCheckOptions options = ReadPlanOptions(arguments);
  const std::string text = ReadFile(arguments.Text("--plan"));
  const auto in_force = ReadInForce(arguments, plan_format.in_force_path);
  Findings in_force_findings;
  auto report = plan_format.check(text, in_force, options, in_force_findings);
  if (!report) throw InForceFailure(arguments, in_force_findings);
  return std::move(*report);
}

}  // namespace

ExitCode ExecuteCheck(const std::vector<std::string>& words,
                      const PlanFormat& plan_format) {
  const Arguments arguments(kCheckHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  try {
    const CheckReport report = Check(arguments, plan_format);
    std::cout << (arguments.Flag("--json") ? report.ToJson() : report.ToText());
    return report.exit_code();
  } catch (const CheckFailure& failure) {
    std::cerr << "coltsfootfork: " << failure.message << "\n";
    return failure.exit_code;
  }
}

}  // namespace coltsfootfork
