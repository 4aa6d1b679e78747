#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/help_pages.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr int kNameWidth = 18;
constexpr int kRolesWidth = 22;
constexpr int kZoneWidth = 14;
constexpr int kRevisionWidth = 10;
constexpr int kLeaseWidth = 10;

std::string ServerText(const json& process) {
  const auto server = process.find("server");
  if (server == process.end()) return "-";
  std::string text = server->value("name", std::string());
  if (server->value("draining", false)) text += " (draining)";
  return text;
}

void PrintRow(const json& process) {
  const std::string revision =
      std::to_string(process.value("revision", 0ULL)) +
      (process.value("in_force", false) ? "" : " (old)");
  std::cout << std::left << std::setw(kNameWidth)
            << process.value("process", std::string()) << std::setw(kRolesWidth)
            << process.value("roles", std::string()) << std::setw(kZoneWidth)
            << process.value("availability_zone", std::string())
            << std::setw(kRevisionWidth) << revision << std::setw(kLeaseWidth)
            << process.value("lease_left_ms", 0LL) << ServerText(process)
            << (process.value("stopping", false) ? " (stopping)" : "") << "\n";
}

void PrintTable(const json& status) {
  std::cout << "leader " << status.value("leader", std::string()) << ", term "
            << status.value("term", 0ULL) << ", revision "
            << status.value("revision", 0ULL) << "\n";
  std::cout << "control replicas:";
  for (const json& replica : status.value("replicas", json::array())) {
    std::cout << " " << replica.value("process", std::string())
              << (replica.value("voter", false) ? "" : " (learner)");
  }
  std::cout << "\n\n";
  std::cout << std::left << std::setw(kNameWidth) << "PROCESS"
            << std::setw(kRolesWidth) << "ROLES" << std::setw(kZoneWidth)
            << "ZONE" << std::setw(kRevisionWidth) << "REVISION"
            << std::setw(kLeaseWidth) << "LEASE ms"
            << "SERVER\n";
  for (const json& process : status.value("processes", json::array())) {
    PrintRow(process);
  }
  for (const json& finding : status.value("findings", json::array())) {
    std::cout << "\nfinding: " << finding.value("place", std::string()) << ": "
              << finding.value("problem", std::string());
  }
  std::cout << std::endl;
}

}  // namespace

ExitCode ExecuteStatus(const std::vector<std::string>& words) {
  const Arguments arguments(kStatusHelp, words);
  if (arguments.exit_code()) return *arguments.exit_code();
  const AdminClient client(arguments.Text("--admin"),
                           arguments.Text("--token-file"));
  const HttpFetchResult result =
      client.Fetch("GET", "/admin/v1/status", {}, "");
  constexpr int kOk = 200;
  if (!result.response || result.response->status != kOk) {
    std::cerr << (result.response ? result.response->body : result.problem)
              << "\n";
    return ExitCode::kNoResponse;
  }
  if (arguments.Flag("--json")) {
    std::cout << result.response->body;
    return ExitCode::kSuccess;
  }
  PrintTable(json::parse(result.response->body, nullptr, false));
  return ExitCode::kSuccess;
}

}  // namespace coltsfootfork
