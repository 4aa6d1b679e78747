#include "control_state/lease_cost.h"

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/control_state/control_codec.h"
#include "coltsfootfork/core/control_state/lease_table.h"
#include "control_state/fleet_document.h"
#include "control_state/measure.h"

namespace coltsfootfork {
namespace {

constexpr Time kStart{std::chrono::seconds(1000)};
constexpr int kRuns = 9;

RenewLease RenewalOf(const InventoryServer& server, std::size_t number) {
  RenewLease renew;
  renew.process = ProcessId("agent-" + server.id.value());
  renew.incarnation = 1700000000000;
  renew.roles = "agent";
  renew.zone = server.zone;
  renew.address = "10.1." + std::to_string(number / 250) + "." +
                  std::to_string(number % 250) + ":7000";
  renew.in_force = 5200;
  renew.server = server.id;
  renew.services = server.services;
  renew.server_incarnation = 1700000000000;
  return renew;
}

void PrintFleet(const FleetSize& size) {
  Findings findings;
  const auto rules = std::make_shared<const ServingRules>(
      std::make_shared<const Configuration>(
          ParseConfiguration(FleetDocument(size).dump(), findings).value()));
  const auto& servers = rules->configuration().servers;
  std::vector<RenewLease> renewals;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    renewals.push_back(RenewalOf(servers[i], i));
  }
  LeaseTable table;
  table.SetRules(rules);
  table.Reset(1, kStart);
  const Time now = kStart + std::chrono::seconds(3);
  const auto renew_all = [&] {
    for (const RenewLease& renew : renewals) {
      table.Renew(renew, now);
      table.directory_version(now);
    }
  };
  for (const RenewLease& renew : renewals) table.Renew(renew, now);
  const auto steady = MedianTime(kRuns, renew_all);
  const auto rebuild = MedianTime(kRuns, [&] {
    table.SetRules(rules);
    table.directory(now);
  });
  FetchStateReply reply;
  reply.directory = table.directory(now);
  std::printf(
      "| %zu | %.2f | %.2f | %zu | %zu | %zu |\n", servers.size(),
      static_cast<double>(steady.count()) / static_cast<double>(servers.size()),
      InMilliseconds(rebuild), EncodeControlRequest(renewals.front()).size(),
      EncodeControlReply(RenewLeaseReply{}).size(),
      EncodeControlReply(reply).size());
}

}  // namespace

void PrintLeaseCost() {
  std::printf(
      "\n| agents | one renewal, us | directory rebuilt, ms | renewal, bytes "
      "| its reply, bytes | whole directory, bytes |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const FleetSize& size : kFleetSizes) PrintFleet(size);
}

}  // namespace coltsfootfork
