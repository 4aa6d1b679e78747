#include "coltsfootfork/core/control_state/lease_table.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
// One lease period after its start, the table has every live process.
constexpr Time kDirectoryReady = kStart + seconds(3);

std::shared_ptr<const ServingRules> QuickstartRules() {
  Findings findings;
  return std::make_shared<const ServingRules>(
      std::make_shared<const Configuration>(
          ParseConfiguration(ReadExample("quickstart.json"), findings)
              .value()));
}

LeaseTable ReadyTable() {
  LeaseTable table;
  table.SetRules(QuickstartRules());
  table.Reset(5, kStart);
  return table;
}

RenewLease AgentRenewal(const std::string& process, const std::string& server,
                        std::uint64_t incarnation = 10) {
  RenewLease renew;
  renew.process = ProcessId(process);
  renew.incarnation = incarnation;
  renew.roles = "agent";
  renew.zone = ZoneId("local");
  renew.address = "10.0.0.1:" + process;
  renew.server = ServerId(server);
  renew.services = {ServiceId("mirror")};
  renew.server_incarnation = 1;
  return renew;
}

std::string ServersIn(LeaseTable& table, Time now) {
  std::string names;
  table.Tick(now);
  for (const DirectoryAgent& agent : table.directory(now)) {
    names += agent.server.value() + (agent.draining ? "(draining) " : " ");
  }
  return names;
}

BOOST_AUTO_TEST_CASE(ANewLeaderPublishesNoDirectoryForOneLeasePeriod) {
  LeaseTable table = ReadyTable();
  table.Renew(AgentRenewal("1", "engine-1"), kStart);
  BOOST_TEST(table.directory_version(kDirectoryReady - seconds(1)) == 0U);
  const std::uint64_t version = table.directory_version(kDirectoryReady);
  BOOST_TEST(version > (std::uint64_t{5} << 32U));
  // The version doesn't decrease on a reset in the same term or in a later one.
  table.Reset(5, kDirectoryReady);
  BOOST_TEST(table.directory_version(kDirectoryReady + seconds(3)) > version);
  table.Reset(6, kDirectoryReady);
  BOOST_TEST(table.directory_version(kDirectoryReady + seconds(3)) >
             (std::uint64_t{6} << 32U));
}

BOOST_AUTO_TEST_CASE(AnExpiredAgentLeavesTheDirectoryButNotTheStatus) {
  LeaseTable table = ReadyTable();
  table.Renew(AgentRenewal("1", "engine-1"), kDirectoryReady);
  table.Renew(AgentRenewal("2", "engine-2"), kDirectoryReady + seconds(2));
  BOOST_TEST(ServersIn(table, kDirectoryReady + seconds(2)) ==
             "engine-1 engine-2 ");
  const auto version = table.directory_version(kDirectoryReady + seconds(2));
  BOOST_TEST(ServersIn(table, kDirectoryReady + seconds(3)) == "engine-2 ");
  BOOST_TEST(table.directory_version(kDirectoryReady + seconds(3)) ==
             version + 1);
  const auto status = table.Status(kDirectoryReady + seconds(3));
  BOOST_TEST_REQUIRE(status.size() == 2U);
  BOOST_TEST(status[0].lease_left.count() == 0);
  BOOST_TEST(status[1].lease_left.count() == 2000);
  // An incarnation whose lease expired may renew unless it was replaced.
  BOOST_TEST(
      table.Renew(AgentRenewal("1", "engine-1"), kDirectoryReady + seconds(4)));
  BOOST_TEST(ServersIn(table, kDirectoryReady + seconds(4)) ==
             "engine-1 engine-2 ");
  table.Tick(kDirectoryReady + seconds(700));
  BOOST_TEST(table.Status(kDirectoryReady + seconds(700)).empty());
}

BOOST_AUTO_TEST_CASE(ARenewalWithoutDirectoryChangesKeepsTheVersion) {
  LeaseTable table = ReadyTable();
  RenewLease renew = AgentRenewal("1", "engine-1");
  table.Renew(renew, kDirectoryReady);
  const auto version = table.directory_version(kDirectoryReady);
  renew.in_force = 7;
  table.Renew(renew, kDirectoryReady + seconds(1));
  BOOST_TEST(table.directory_version(kDirectoryReady + seconds(1)) == version);
  renew.draining = true;
  table.Renew(renew, kDirectoryReady + seconds(2));
  BOOST_TEST(ServersIn(table, kDirectoryReady + seconds(2)) ==
             "engine-1(draining) ");
  BOOST_TEST(table.directory_version(kDirectoryReady + seconds(2)) ==
             version + 1);
}

BOOST_AUTO_TEST_CASE(AnOlderIncarnationOfAProcessIsRefused) {
  LeaseTable table = ReadyTable();
  BOOST_TEST(table.Renew(AgentRenewal("1", "engine-1", 10), kDirectoryReady));
  BOOST_TEST(!table.Renew(AgentRenewal("1", "engine-1", 9), kDirectoryReady));
  BOOST_TEST(table.Renew(AgentRenewal("1", "engine-1", 11), kDirectoryReady));
  BOOST_TEST(!table.Renew(AgentRenewal("1", "engine-1", 10), kDirectoryReady));
  // A replaced incarnation stays refused after its successor's lease expires.
  BOOST_TEST(!table.Renew(AgentRenewal("1", "engine-1", 10),
                          kDirectoryReady + seconds(9)));
  BOOST_TEST(table.FindingsAt(kDirectoryReady).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AfterABackwardClockStepARestartIsAcceptedInOneLease) {
  LeaseTable table = ReadyTable();
  table.Renew(AgentRenewal("1", "engine-1", 10), kDirectoryReady);
  BOOST_TEST(!table.Renew(AgentRenewal("1", "engine-1", 4),
                          kDirectoryReady + seconds(2)));
  BOOST_TEST(table.Renew(AgentRenewal("1", "engine-1", 4),
                         kDirectoryReady + seconds(3)));
}

BOOST_AUTO_TEST_CASE(ABackendServerMayRestartWhileItsAgentRuns) {
  LeaseTable table = ReadyTable();
  RenewLease renew = AgentRenewal("1", "engine-1");
  table.Renew(renew, kDirectoryReady);
  renew.server_incarnation = 2;
  BOOST_TEST(table.Renew(renew, kDirectoryReady));
  // A delayed message reports the previous incarnation of the server.
  renew.server_incarnation = 1;
  BOOST_TEST(!table.Renew(renew, kDirectoryReady));
  // The agent restarts while its server keeps running.
  renew = AgentRenewal("1", "engine-1", 11);
  renew.server_incarnation = 2;
  BOOST_TEST(table.Renew(renew, kDirectoryReady));
}

BOOST_AUTO_TEST_CASE(ANewerProcessTakesOverTheAddressOfAnOlderOne) {
  LeaseTable table = ReadyTable();
  RenewLease old_process = AgentRenewal("1", "engine-1", 10);
  RenewLease new_process = AgentRenewal("2", "engine-2", 11);
  new_process.address = old_process.address;
  table.Renew(old_process, kDirectoryReady);
  BOOST_TEST(table.Renew(new_process, kDirectoryReady));
  BOOST_TEST(ServersIn(table, kDirectoryReady) == "engine-2 ");
  BOOST_TEST(!table.Renew(old_process, kDirectoryReady));
  BOOST_TEST(ServersIn(table, kDirectoryReady) == "engine-2 ");
  BOOST_TEST(table.FindingsAt(kDirectoryReady).size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheDirectoryListsOnlyTheNewerOfTwoAgentsOfOneServer) {
  LeaseTable table = ReadyTable();
  RenewLease newer = AgentRenewal("2", "engine-1");
  newer.server_incarnation = 2;
  table.Renew(AgentRenewal("1", "engine-1"), kDirectoryReady);
  BOOST_TEST(table.Renew(newer, kDirectoryReady));
  BOOST_TEST(!table.Renew(AgentRenewal("1", "engine-1"), kDirectoryReady));
  BOOST_TEST(table.directory(kDirectoryReady).size() == 1U);
  BOOST_TEST(table.directory(kDirectoryReady)[0].process == ProcessId("2"));
}

BOOST_AUTO_TEST_CASE(AnAddressChangeDoesNotReleaseTheAddressOfTheSuccessor) {
  LeaseTable table = ReadyTable();
  RenewLease first = AgentRenewal("1", "engine-1", 10);
  RenewLease second = AgentRenewal("2", "engine-2", 11);
  second.address = first.address;
  table.Renew(first, kDirectoryReady);
  table.Renew(second, kDirectoryReady + seconds(4));
  first.address = "10.0.0.9:1";
  BOOST_TEST(table.Renew(first, kDirectoryReady + seconds(5)));
  RenewLease third = AgentRenewal("3", "", 1);
  third.address = second.address;
  BOOST_TEST(!table.Renew(third, kDirectoryReady + seconds(5)));
}

// Removing one model from an engine's list in the inventory must not take the
// engine's other models out of service while the engine still announces it.
BOOST_AUTO_TEST_CASE(AnUnlistedServiceReceivesNoWorkAndTheOthersStayInService) {
  LeaseTable table = ReadyTable();
  RenewLease renew = AgentRenewal("1", "engine-1");
  renew.services = {ServiceId("unlisted"), ServiceId("mirror")};
  table.Renew(renew, kDirectoryReady);
  BOOST_TEST_REQUIRE(table.directory(kDirectoryReady).size() == 1U);
  const auto& services = table.directory(kDirectoryReady)[0].services;
  BOOST_TEST_REQUIRE(services.size() == 1U);
  BOOST_TEST(services[0] == ServiceId("mirror"));
  const auto findings = table.FindingsAt(kDirectoryReady);
  BOOST_TEST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].problem ==
             "announces service unlisted, which the inventory does not list "
             "for it");
}

BOOST_AUTO_TEST_CASE(AServerThatContradictsTheInventoryReceivesNoWork) {
  LeaseTable table = ReadyTable();
  RenewLease unknown = AgentRenewal("1", "engine-9");
  RenewLease other_zone = AgentRenewal("2", "engine-1");
  other_zone.zone = ZoneId("far");
  RenewLease other_service = AgentRenewal("3", "engine-2");
  other_service.services = {ServiceId("unlisted")};
  for (const auto& renew : {unknown, other_zone, other_service}) {
    // The process keeps its lease and receives changes; only its backend server
    // receives no work.
    BOOST_TEST(table.Renew(renew, kDirectoryReady));
  }
  BOOST_TEST(ServersIn(table, kDirectoryReady) == "");
  const auto findings = table.FindingsAt(kDirectoryReady);
  BOOST_TEST_REQUIRE(findings.size() == 3U);
  BOOST_TEST(findings[0].place == "engine engine-9");
  BOOST_TEST(findings[0].problem == "the inventory has no such engine");
  table.Renew(AgentRenewal("2", "engine-1"), kDirectoryReady);
  BOOST_TEST(ServersIn(table, kDirectoryReady) == "engine-1 ");
}

}  // namespace
}  // namespace coltsfootfork
