#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/control_group.h"
#include "shell/fleet/control_subscriber.h"

// Orders to evacuate zones, at control processes in one event loop.
namespace coltsfootfork::platform {
namespace {

using Zones = std::vector<std::string>;

int Order(ControlGroup& group, int index, const std::string& zone,
          const std::string& order) {
  return group.Call(index, "POST", "/api/evacuations/" + zone + "/" + order, "")
      .status;
}

void OrderUntilAcknowledged(ControlGroup& group, int index,
                            const std::string& zone, const std::string& order) {
  ControlGroup::UntilAcknowledged(
      [&] { return Order(group, index, zone, order); });
}

Zones EvacuatedZonesOf(ControlGroup& group, int index) {
  const HttpResponse response =
      group.Call(index, "GET", "/api/evacuations", "");
  BOOST_REQUIRE(response.status == 200);
  return nlohmann::json::parse(response.body).at("zones").get<Zones>();
}

void AwaitZones(ControlGroup& group, int index, const Zones& zones) {
  group.RunUntil([&] { return EvacuatedZonesOf(group, index) == zones; });
}

BOOST_AUTO_TEST_CASE(OrdersReachEveryControlProcess) {
  ControlGroup group(4, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  // Orders also pass through a process without a disk.
  OrderUntilAcknowledged(group, 3, "z2", "start");
  for (int i = 0; i < 4; ++i) AwaitZones(group, i, {"z1", "z2"});
  OrderUntilAcknowledged(group, 1, "z1", "end");
  for (int i = 0; i < 4; ++i) AwaitZones(group, i, {"z2"});
  BOOST_TEST(group.ReadVersionUntilAvailable(2) == 5);
}

// Guards against a name that ends each control process that lists the zones.
BOOST_AUTO_TEST_CASE(ZoneNameThatIsNoPathIsRejected) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  for (const char* zone : {"z\xff", "\xc3", "z\xc3\xa9"}) {
    BOOST_TEST(Order(group, 0, zone, "start") == 400);
  }
  BOOST_TEST(EvacuatedZonesOf(group, 0).empty());
}

BOOST_AUTO_TEST_CASE(RepeatedOrdersAreAcknowledged) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  OrderUntilAcknowledged(group, 1, "z1", "start");
  OrderUntilAcknowledged(group, 2, "z1", "end");
  OrderUntilAcknowledged(group, 0, "z1", "end");
  for (int i = 0; i < 3; ++i) AwaitZones(group, i, {});
}

BOOST_AUTO_TEST_CASE(MalformedOrdersAreRefused) {
  ControlGroup group(1, 1);
  group.PutUntilAccepted(0, 5);
  BOOST_TEST(Order(group, 0, "z1", "pause") == 404);
  BOOST_TEST(Order(group, 0, "", "start") == 400);
  BOOST_TEST(Order(group, 0, std::string(200, 'z'), "start") == 400);
  BOOST_TEST(EvacuatedZonesOf(group, 0).empty());
}

BOOST_AUTO_TEST_CASE(WithoutQuorumOrdersAreNotAcknowledged) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  for (const int stopped : {1, 2}) {
    group.processes[stopped].api.reset();
    group.processes[stopped].control.reset();
  }
  BOOST_TEST(Order(group, 0, "z1", "start") == 503);
  BOOST_TEST(EvacuatedZonesOf(group, 0).empty());
}

// Guards against the loss of an acknowledged evacuation when all control
// processes are killed right after the acknowledgement.
BOOST_AUTO_TEST_CASE(AcknowledgedEvacuationSurvivesRestartOfAllProcesses) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  group.RestartAll();
  for (int i = 0; i < 3; ++i) AwaitZones(group, i, {"z1"});
  BOOST_TEST(group.ReadVersionUntilAvailable(1) == 5);
}

BOOST_AUTO_TEST_CASE(AcknowledgedEvacuationSurvivesLostDisk) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  for (ControlProcess& process : group.processes) {
    process.api.reset();
    process.control.reset();
  }
  std::filesystem::remove_all(group.processes[0].folder);
  for (int i = 0; i < 3; ++i) group.Start(i, /*is_first_start=*/false);
  for (int i = 0; i < 3; ++i) AwaitZones(group, i, {"z1"});
}

// The leader is lost between the order and its acknowledgement: the repeated
// order takes effect once, whether or not the first copy was committed.
BOOST_AUTO_TEST_CASE(RepeatedOrderAfterLossOfLeaderTakesEffectOnce) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  int leader = -1;
  group.RunUntil([&] {
    for (int i = 0; i < 3; ++i) {
      if (group.processes[i].control->is_leader()) leader = i;
    }
    return leader >= 0;
  });
  group.processes[leader].control->OrderEvacuation(
      ZoneId("z1"), /*is_start=*/true,
      [](std::optional<EvacuationOutcome> /*outcome*/) {});
  group.io.run_one();
  group.processes[leader].api.reset();
  group.processes[leader].control.reset();
  const int other = (leader + 1) % 3;
  OrderUntilAcknowledged(group, other, "z1", "start");
  BOOST_TEST(group.processes[other].control->evacuated_zones().revision == 1U);
  OrderUntilAcknowledged(group, other, "z1", "end");
  group.Start(leader, /*is_first_start=*/false);
  AwaitZones(group, leader, {});
}

// An entry must know the evacuated zones before it takes callers.
BOOST_AUTO_TEST_CASE(StartingEntryLearnsEvacuationsBeforeItIsReady) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  EvacuatedZones known;
  ControlSubscriberEvents events;
  events.on_plan = [](const PlanDocument& /*plan*/) {};
  events.on_directory = [](const ServerDirectory& /*directory*/) {};
  events.on_usage = [](const FleetLoad& /*others*/,
                       const FleetDemand& /*demand*/,
                       std::uint32_t /*entries*/) {};
  events.own_load = [] { return FleetLoad(); };
  events.own_demand = [] { return FleetDemand(); };
  events.on_evacuations = [&](const EvacuatedZones& evacuated) {
    known = evacuated;
  };
  std::vector<std::string> seeds;
  for (const ControlProcess& process : group.processes) {
    seeds.push_back(process.address);
  }
  ControlSubscriber subscriber(group.io, {"entry-1", seeds, 7}, events);
  group.RunUntil([&] { return subscriber.has_synced(); });
  BOOST_TEST(known.revision == 1U);
  BOOST_REQUIRE(known.zones.size() == 1U);
  BOOST_TEST(known.zones[0] == ZoneId("z1"));
  OrderUntilAcknowledged(group, 1, "z1", "end");
  group.RunUntil([&] { return known.zones.empty(); });
  BOOST_TEST(known.revision == 2U);
}

// Guards against calls to an evacuated zone after a restart of all processes:
// the control processes agreed on the servers before they had a leader and
// recovered the log, and the log's plan was sent before its evacuations.
BOOST_AUTO_TEST_CASE(EntryLearnsEvacuationsBeforePlanOfRestartedControl) {
  ControlGroup group(3, 3);
  group.PutUntilAccepted(0, 5);
  OrderUntilAcknowledged(group, 0, "z1", "start");
  OrderUntilAcknowledged(group, 0, "z1", "end");
  OrderUntilAcknowledged(group, 0, "z2", "start");
  group.RestartAll();
  EvacuatedZones known;
  std::vector<std::uint64_t> revisions_at_plan;
  ControlSubscriberEvents events;
  events.on_plan = [&](const PlanDocument& /*plan*/) {
    revisions_at_plan.push_back(known.revision);
  };
  events.on_directory = [](const ServerDirectory& /*directory*/) {};
  events.on_usage = [](const FleetLoad& /*others*/,
                       const FleetDemand& /*demand*/,
                       std::uint32_t /*entries*/) {};
  events.own_load = [] { return FleetLoad(); };
  events.own_demand = [] { return FleetDemand(); };
  events.on_evacuations = [&](const EvacuatedZones& evacuated) {
    known = evacuated;
  };
  std::vector<std::string> seeds;
  for (const ControlProcess& process : group.processes) {
    seeds.push_back(process.address);
  }
  ControlSubscriber subscriber(group.io, {"entry-1", seeds, 7}, events);
  group.RunUntil([&] { return subscriber.has_synced(); });
  BOOST_TEST(known.revision == 3U);
  group.RunUntil([&] { return !revisions_at_plan.empty(); });
  BOOST_TEST(revisions_at_plan.front() == 3U);
  BOOST_REQUIRE(known.zones.size() == 1U);
  BOOST_TEST(known.zones[0] == ZoneId("z2"));
}

// Guards against an entry that was not connected when a server became cold
// again: the digests of the directories do not differ.
BOOST_AUTO_TEST_CASE(ReconnectedEntryLearnsThatServerIsCold) {
  ControlGroup group(1, 1);
  group.PutUntilAccepted(0, 5);
  BOOST_TEST(group.Heartbeat(0, "i-1", 1, "ready") == 200);
  std::chrono::milliseconds cold_for{0};
  ControlSubscriberEvents events;
  events.on_plan = [](const PlanDocument& /*plan*/) {};
  events.on_directory = [&](const ServerDirectory& directory) {
    const auto* entry = directory.Find(ServerId("i-1"));
    if (entry != nullptr) cold_for = entry->record.warmup_remaining;
  };
  events.on_usage = [](const FleetLoad& /*others*/,
                       const FleetDemand& /*demand*/,
                       std::uint32_t /*entries*/) {};
  events.own_load = [] { return FleetLoad(); };
  events.own_demand = [] { return FleetDemand(); };
  ControlSubscriber subscriber(
      group.io, {"entry-1", {group.processes[0].address}, 7}, events);
  group.RunUntil([&] { return subscriber.has_synced(); });
  BOOST_TEST(cold_for.count() == 0);
  group.RestartAll();
  const nlohmann::json heartbeat = {
      {"service", "s"},        {"address", "127.0.0.1:9"},
      {"state", "ready"},      {"sequence", 2},
      {"born", 1000},          {"slots", 4},
      {"cold_left_ms", 600000}};
  BOOST_TEST(
      group.Call(0, "POST", "/api/instances/i-1/heartbeat", heartbeat.dump())
          .status == 200);
  group.RunUntil([&] { return cold_for.count() > 0; });
}

}  // namespace
}  // namespace coltsfootfork::platform
