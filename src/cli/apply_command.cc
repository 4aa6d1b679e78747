#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/files.h"
#include "cli/help_pages.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "shell/net/fleet_handshake.h"

namespace coltsfootfork {
namespace {

constexpr char kConfigurationPath[] = "/admin/v1/configuration";
constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;

ExitCode ReportNoResponse(const HttpFetchResult& result) {
  if (result.response) {
    std::cerr << result.response->body;
  } else {
    std::cerr << "no response: " << result.problem << "\n";
  }
  return ExitCode::kNoResponse;
}

ExitCode ReportOutcome(const HttpFetchResult& result,
                       const std::string& change_id) {
  if (!result.response) return ReportNoResponse(result);
  const HttpResponse& response = *result.response;
  if (response.status == kOk) {
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    std::cout << "accepted as revision " << body.value("revision", 0ULL)
              << " (change id " << change_id << ")\n";
    return ExitCode::kSuccess;
  }
  if (response.status == kPreconditionFailed) {
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    std::cerr << "not accepted: revision " << body.value("revision", 0ULL)
              << " is already in force, set by change id "
              << body.value("change_id", std::string()) << "\n";
    return ExitCode::kConflict;
  }
  std::cerr << response.body;
  constexpr int kUnavailable = 503;
  return response.status == kUnavailable ? ExitCode::kNoResponse
                                         : ExitCode::kFailed;
}

}  // namespace

ExitCode ExecuteApply(const std::vector<std::string>& words) {
  const Arguments arguments(kApplyHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  const std::string document = ReadTextFile(arguments.Text("<file>"));
  Findings findings;
  if (!ParseConfiguration(document, findings)) {
    std::cerr << findings.ToText();
    return ExitCode::kFailed;
  }
  const AdminClient client(arguments.Text("--admin"),
                           arguments.Text("--token-file"));
  std::string revision = arguments.Text("--revision");
  if (revision.empty()) {
    const HttpFetchResult current =
        client.FetchWithRetries("GET", kConfigurationPath, {}, "");
    if (!current.response || current.response->status != kOk) {
      return ReportNoResponse(current);
    }
    revision = FieldOf(*current.response, "ETag");
  }
  std::string change_id = arguments.Text("--change-id");
  if (change_id.empty()) change_id = MakeNonce();
  return ReportOutcome(
      client.FetchWithRetries(
          "PUT", kConfigurationPath,
          {{"If-Match", revision}, {"Change-Id", change_id}}, document),
      change_id);
}

}  // namespace coltsfootfork
