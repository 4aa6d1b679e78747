#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "shell/clock/monotonic_now.h"

// An entry's calls while zones are evacuated, and calls that are restricted to
// regions.
namespace coltsfootfork {
namespace {

constexpr int kEvents = 60;

GatewayOptions Options() {
  GatewayOptions options;
  options.balancer.regions = {{ZoneId("north"), RegionId("r-north")},
                              {ZoneId("south"), RegionId("r-south")}};
  return options;
}

struct TwoZones {
  TwoZones()
      : fixture(Options()),
        north(fixture.io, "i-north"),
        south(fixture.io, "i-south") {
    for (PlatformEngine* engine : {&north, &south}) {
      engine->SetPeers({&north, &south});
      engine->SetEventsPerStream(kEvents);
    }
    fixture.SetPlan();
    Announce();
  }

  void Announce() {
    Announce(north, "north");
    Announce(south, "south");
  }
  void Announce(const PlatformEngine& engine, const std::string& zone) {
    fixture.Announce(engine.id(), engine.address(), "model",
                     ServerState::kReady, /*incarnation=*/1, zone);
  }

  void Evacuate(const std::vector<std::string>& zones) {
    EvacuatedZones evacuated;
    evacuated.revision = ++revision;
    for (const std::string& zone : zones) evacuated.zones.emplace_back(zone);
    fixture.gateway.SetEvacuatedZones(evacuated, MonotonicNow());
  }

  std::optional<HttpResponse> Stream(const std::string& id) {
    return fixture.Fetch(fixture.StreamRequest("/talk/1", id));
  }

  // Starts a stream, and waits until its caller has received some events.
  std::shared_ptr<std::optional<HttpFetchResult>> StartStream() {
    auto done = fixture.Start(fixture.StreamRequest("/talk/1", "r1"));
    fixture.RunUntil([&] { return north.running() + south.running() > 0; });
    for (int i = 0; i < 60; ++i) fixture.io.run_one();
    return done;
  }

  GatewayFixture fixture;
  PlatformEngine north;
  PlatformEngine south;
  std::uint64_t revision = 0;
};

void CheckComplete(const std::optional<HttpResponse>& response) {
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  std::vector<int> expected(kEvents);
  std::iota(expected.begin(), expected.end(), 1);
  BOOST_TEST(EventIds(response->body) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(NewCallsAvoidEvacuatedZone) {
  TwoZones zones;
  zones.Evacuate({"north"});
  for (int i = 0; i < 10; ++i) {
    CheckComplete(zones.Stream("r" + std::to_string(i)));
  }
  BOOST_TEST(zones.north.arrivals() == 0);
  BOOST_TEST(zones.south.runs_started() == 10);
  zones.Evacuate({});
  for (int i = 10; i < 40 && zones.north.arrivals() == 0; ++i) {
    CheckComplete(zones.Stream("r" + std::to_string(i)));
  }
  BOOST_TEST(zones.north.arrivals() > 0);
}

// Callers must not wait for a timeout that cannot be met.
BOOST_AUTO_TEST_CASE(EvacuationOfAllZonesRefusesCallsAtOnce) {
  TwoZones zones;
  zones.Evacuate({"north", "south"});
  const auto response = zones.Stream("r1");
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 503);
  BOOST_TEST(FieldOf(*response, "Retry-After") == "1.000");
  BOOST_TEST(zones.north.arrivals() + zones.south.arrivals() == 0);
}

BOOST_AUTO_TEST_CASE(RunningStreamMigratesOutOfEvacuatedZone) {
  TwoZones zones;
  const auto done = zones.StartStream();
  const bool in_north = zones.north.running() > 0;
  PlatformEngine& source = in_north ? zones.north : zones.south;
  PlatformEngine& target = in_north ? zones.south : zones.north;
  zones.Evacuate({in_north ? "north" : "south"});
  zones.fixture.RunUntil([&] { return done->has_value(); });
  CheckComplete((*done)->response);
  BOOST_TEST(target.runs_migrated() == 1);
  BOOST_TEST(source.runs_started() == 1);
  BOOST_TEST(target.runs_started() == 0);
}

// Without capacity elsewhere a stream ends where it runs.
BOOST_AUTO_TEST_CASE(StreamStaysIfOtherZonesHaveNoCapacity) {
  TwoZones zones;
  const auto done = zones.StartStream();
  const bool in_north = zones.north.running() > 0;
  PlatformEngine& source = in_north ? zones.north : zones.south;
  PlatformEngine& target = in_north ? zones.south : zones.north;
  FleetLoad others;
  others[ServerId(target.id())] = {24, 30000, 0};
  zones.fixture.gateway.SetOtherEntriesUsage(others, {}, MonotonicNow());
  zones.Evacuate({in_north ? "north" : "south"});
  zones.fixture.RunUntil([&] { return done->has_value(); });
  CheckComplete((*done)->response);
  BOOST_TEST(source.runs_started() == 1);
  BOOST_TEST(target.arrivals() == 0);
}

BOOST_AUTO_TEST_CASE(RouteAndWorkspaceRestrictRegions) {
  TwoZones zones;
  zones.fixture.SetPlan(20000, 0, {"r-north"});
  for (int i = 0; i < 10; ++i) {
    CheckComplete(zones.Stream("r" + std::to_string(i)));
  }
  BOOST_TEST(zones.south.arrivals() == 0);
  zones.fixture.SetPlan(20000, 0, {}, {"r-south"});
  const int before = zones.north.arrivals();
  for (int i = 10; i < 20; ++i) {
    CheckComplete(zones.Stream("r" + std::to_string(i)));
  }
  BOOST_TEST(zones.north.arrivals() == before);
  // No region satisfies both: refused at once, and sent nowhere.
  zones.fixture.SetPlan(20000, 0, {"r-north"}, {"r-south"});
  const int all = zones.north.arrivals() + zones.south.arrivals();
  const auto response = zones.Stream("r20");
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 503);
  BOOST_TEST(!FieldOf(*response, "Retry-After").empty());
  BOOST_TEST(zones.north.arrivals() + zones.south.arrivals() == all);
}

// A restricted stream must not migrate to another region when its engine
// drains.
BOOST_AUTO_TEST_CASE(RestrictedStreamDoesNotMigrateToAnotherRegion) {
  TwoZones zones;
  zones.fixture.SetPlan(20000, 0, {"r-north"});
  const auto done = zones.StartStream();
  zones.fixture.Announce(zones.north.id(), zones.north.address(), "model",
                         ServerState::kDraining, /*incarnation=*/1, "north");
  zones.fixture.RunUntil([&] { return done->has_value(); });
  CheckComplete((*done)->response);
  BOOST_TEST(zones.south.arrivals() == 0);
}

}  // namespace
}  // namespace coltsfootfork
