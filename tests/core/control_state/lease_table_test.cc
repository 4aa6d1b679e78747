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
// One lease after its start the table knows all living processes.
constexpr Time kReady = kStart + seconds(3);

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

RenewLease Agent(const std::string& process, const std::string& server,
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

BOOST_AUTO_TEST_CASE(ANewLeaderHandsOutNoDirectoryForOneLease) {
  LeaseTable table = ReadyTable();
  table.Renew(Agent("1", "engine-1"), kStart);
  BOOST_TEST(table.directory_version(kReady - seconds(1)) == 0U);
  const std::uint64_t version = table.directory_version(kReady);
  BOOST_TEST(version > (std::uint64_t{5} << 32U));
  // Neither a later term nor a second start in one term goes back.
  table.Reset(5, kReady);
  BOOST_TEST(table.directory_version(kReady + seconds(3)) > version);
  table.Reset(6, kReady);
  BOOST_TEST(table.directory_version(kReady + seconds(3)) >
             (std::uint64_t{6} << 32U));
}

BOOST_AUTO_TEST_CASE(ASilentAgentLeavesTheDirectoryButNotTheStatus) {
  LeaseTable table = ReadyTable();
  table.Renew(Agent("1", "engine-1"), kReady);
  table.Renew(Agent("2", "engine-2"), kReady + seconds(2));
  BOOST_TEST(ServersIn(table, kReady + seconds(2)) == "engine-1 engine-2 ");
  const auto version = table.directory_version(kReady + seconds(2));
  BOOST_TEST(ServersIn(table, kReady + seconds(3)) == "engine-2 ");
  BOOST_TEST(table.directory_version(kReady + seconds(3)) == version + 1);
  const auto status = table.Status(kReady + seconds(3));
  BOOST_TEST_REQUIRE(status.size() == 2U);
  BOOST_TEST(status[0].lease_left.count() == 0);
  BOOST_TEST(status[1].lease_left.count() == 2000);
  // Merely silent: the same incarnation comes back.
  BOOST_TEST(table.Renew(Agent("1", "engine-1"), kReady + seconds(4)));
  BOOST_TEST(ServersIn(table, kReady + seconds(4)) == "engine-1 engine-2 ");
  table.Tick(kReady + seconds(700));
  BOOST_TEST(table.Status(kReady + seconds(700)).empty());
}

BOOST_AUTO_TEST_CASE(ARenewalThatChangesNothingKeepsTheVersion) {
  LeaseTable table = ReadyTable();
  RenewLease renew = Agent("1", "engine-1");
  table.Renew(renew, kReady);
  const auto version = table.directory_version(kReady);
  renew.in_force = 7;
  table.Renew(renew, kReady + seconds(1));
  BOOST_TEST(table.directory_version(kReady + seconds(1)) == version);
  renew.draining = true;
  table.Renew(renew, kReady + seconds(2));
  BOOST_TEST(ServersIn(table, kReady + seconds(2)) == "engine-1(draining) ");
  BOOST_TEST(table.directory_version(kReady + seconds(2)) == version + 1);
}

BOOST_AUTO_TEST_CASE(AnOlderIncarnationOfAProcessIsRefused) {
  LeaseTable table = ReadyTable();
  BOOST_TEST(table.Renew(Agent("1", "engine-1", 10), kReady));
  BOOST_TEST(!table.Renew(Agent("1", "engine-1", 9), kReady));
  BOOST_TEST(table.Renew(Agent("1", "engine-1", 11), kReady));
  BOOST_TEST(!table.Renew(Agent("1", "engine-1", 10), kReady));
  // Also when the newer one is silent: the older one was replaced for good.
  BOOST_TEST(!table.Renew(Agent("1", "engine-1", 10), kReady + seconds(9)));
  BOOST_TEST(table.FindingsAt(kReady).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AfterAClockStepARestartedProcessGetsInWithinOneLease) {
  LeaseTable table = ReadyTable();
  table.Renew(Agent("1", "engine-1", 10), kReady);
  BOOST_TEST(!table.Renew(Agent("1", "engine-1", 4), kReady + seconds(2)));
  BOOST_TEST(table.Renew(Agent("1", "engine-1", 4), kReady + seconds(3)));
}

BOOST_AUTO_TEST_CASE(AServerMayRestartUnderALivingAgent) {
  LeaseTable table = ReadyTable();
  RenewLease renew = Agent("1", "engine-1");
  table.Renew(renew, kReady);
  renew.server_incarnation = 2;
  BOOST_TEST(table.Renew(renew, kReady));
  // A late message still tells of the former server.
  renew.server_incarnation = 1;
  BOOST_TEST(!table.Renew(renew, kReady));
  // The agent restarts too, and its server does not.
  renew = Agent("1", "engine-1", 11);
  renew.server_incarnation = 2;
  BOOST_TEST(table.Renew(renew, kReady));
}

BOOST_AUTO_TEST_CASE(ANewProcessTakesOverTheAddressOfAnOldOne) {
  LeaseTable table = ReadyTable();
  RenewLease old_process = Agent("1", "engine-1", 10);
  RenewLease new_process = Agent("2", "engine-2", 11);
  new_process.address = old_process.address;
  table.Renew(old_process, kReady);
  BOOST_TEST(table.Renew(new_process, kReady));
  BOOST_TEST(ServersIn(table, kReady) == "engine-2 ");
  BOOST_TEST(!table.Renew(old_process, kReady));
  BOOST_TEST(ServersIn(table, kReady) == "engine-2 ");
  BOOST_TEST(table.FindingsAt(kReady).size() == 1U);
}

BOOST_AUTO_TEST_CASE(TwoAgentsOfOneServerAreNotBothInTheDirectory) {
  LeaseTable table = ReadyTable();
  RenewLease newer = Agent("2", "engine-1");
  newer.server_incarnation = 2;
  table.Renew(Agent("1", "engine-1"), kReady);
  BOOST_TEST(table.Renew(newer, kReady));
  BOOST_TEST(!table.Renew(Agent("1", "engine-1"), kReady));
  BOOST_TEST(table.directory(kReady).size() == 1U);
  BOOST_TEST(table.directory(kReady)[0].process == ProcessId("2"));
}

BOOST_AUTO_TEST_CASE(AProcessThatMovedDoesNotFreeTheAddressOfItsSuccessor) {
  LeaseTable table = ReadyTable();
  RenewLease first = Agent("1", "engine-1", 10);
  RenewLease second = Agent("2", "engine-2", 11);
  second.address = first.address;
  table.Renew(first, kReady);
  table.Renew(second, kReady + seconds(4));
  first.address = "10.0.0.9:1";
  BOOST_TEST(table.Renew(first, kReady + seconds(5)));
  RenewLease third = Agent("3", "", 1);
  third.address = second.address;
  BOOST_TEST(!table.Renew(third, kReady + seconds(5)));
}

// A model that leaves the list of an engine must not take the engine's other
// models out of service until it is unloaded.
BOOST_AUTO_TEST_CASE(AnUnlistedServiceGetsNoWorkAndTheOthersGoOn) {
  LeaseTable table = ReadyTable();
  RenewLease renew = Agent("1", "engine-1");
  renew.services = {ServiceId("unlisted"), ServiceId("mirror")};
  table.Renew(renew, kReady);
  BOOST_TEST_REQUIRE(table.directory(kReady).size() == 1U);
  const auto& services = table.directory(kReady)[0].services;
  BOOST_TEST_REQUIRE(services.size() == 1U);
  BOOST_TEST(services[0] == ServiceId("mirror"));
  const auto findings = table.FindingsAt(kReady);
  BOOST_TEST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].problem ==
             "announces service unlisted, which the inventory does not list "
             "for it");
}

BOOST_AUTO_TEST_CASE(AServerThatContradictsTheInventoryGetsNoWork) {
  LeaseTable table = ReadyTable();
  RenewLease unknown = Agent("1", "engine-9");
  RenewLease elsewhere = Agent("2", "engine-1");
  elsewhere.zone = ZoneId("far");
  RenewLease other_service = Agent("3", "engine-2");
  other_service.services = {ServiceId("unlisted")};
  for (const auto& renew : {unknown, elsewhere, other_service}) {
    // The process lives and learns of changes; only its server has no work.
    BOOST_TEST(table.Renew(renew, kReady));
  }
  BOOST_TEST(ServersIn(table, kReady) == "");
  const auto findings = table.FindingsAt(kReady);
  BOOST_TEST_REQUIRE(findings.size() == 3U);
  BOOST_TEST(findings[0].place == "engine engine-9");
  BOOST_TEST(findings[0].problem == "the inventory has no such engine");
  table.Renew(Agent("2", "engine-1"), kReady);
  BOOST_TEST(ServersIn(table, kReady) == "engine-1 ");
}

}  // namespace
}  // namespace coltsfootfork
