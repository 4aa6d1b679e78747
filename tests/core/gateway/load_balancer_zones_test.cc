#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "coltsfootfork/core/gateway/load_balancer.h"

// Evacuated zones and regions: which servers calls and migrations may use.
namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
const ServiceId kService("model");
const RegionId kNorth("north");

struct Fixture {
  Fixture() : balancer(Options(), /*seed=*/7) {
    for (const char* id : {"n1", "n2", "s1", "s2"}) {
      ServerRecord record;
      record.id = ServerId(id);
      record.incarnation = 1;
      record.sequence = 1;
      record.service = kService;
      record.address = std::string("10.0.0.1:") + id[1];
      record.zone = ZoneId(std::string(1, id[0]));
      record.slots = 4;
      directory.Merge(record, kNow);
    }
    balancer.ApplyDirectory(directory, kNow);
    engine.slots = 4;
    engine.memory_tokens = 1000;
  }

  static LoadBalancerOptions Options() {
    LoadBalancerOptions options;
    options.zone = ZoneId("n");
    options.regions = {{ZoneId("n"), kNorth}, {ZoneId("s"), RegionId("south")}};
    return options;
  }

  ServerQuery Query(const AllowedRegions& regions = std::nullopt) const {
    ServerQuery query;
    query.service = kService;
    query.engine = &engine;
    query.tokens = 100;
    query.permitted_regions = regions;
    return query;
  }

  // The servers that 50 picks and 50 migrations choose.
  std::set<std::string> Chosen(const ServerQuery& query) {
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i) {
      if (const auto choice = balancer.Pick(query, kNow)) {
        chosen.insert(choice->id.value());
      }
      const auto target = balancer.PickMigrationTarget(
          query, ServerId("n1"), RequestId(std::to_string(i)), kNow);
      if (target) chosen.insert(target->id.value());
    }
    return chosen;
  }

  ServerDirectory directory;
  LoadBalancer balancer;
  EngineProfile engine;
};

BOOST_AUTO_TEST_CASE(ServersOfEvacuatedZoneAreNotChosen) {
  Fixture fixture;
  fixture.balancer.SetEvacuatedZones({ZoneId("n")}, kNow);
  BOOST_TEST(
      (fixture.Chosen(fixture.Query()) == std::set<std::string>{"s1", "s2"}));
  BOOST_TEST(!fixture.balancer.IsRestrictedToNoServer(fixture.Query()));
  fixture.balancer.SetEvacuatedZones({}, kNow);
  BOOST_TEST(fixture.Chosen(fixture.Query()).count("n1") == 1U);
}

// Callers must be told at once that all servers are in evacuated zones.
BOOST_AUTO_TEST_CASE(EvacuationOfAllZonesLeavesNoServer) {
  Fixture fixture;
  fixture.balancer.SetEvacuatedZones({ZoneId("n"), ZoneId("s")}, kNow);
  BOOST_TEST(!fixture.balancer.Pick(fixture.Query(), kNow).has_value());
  BOOST_TEST(!fixture.balancer.CanServe(fixture.Query(), kNow));
  BOOST_TEST(fixture.balancer.IsRestrictedToNoServer(fixture.Query()));
  // A service without any server is another case: one may register soon.
  ServerQuery unknown = fixture.Query();
  unknown.service = ServiceId("other");
  BOOST_TEST(!fixture.balancer.IsRestrictedToNoServer(unknown));
}

BOOST_AUTO_TEST_CASE(RestrictedCallStaysInItsRegion) {
  Fixture fixture;
  const ServerQuery query = fixture.Query(CombineRegions({kNorth}, {}));
  BOOST_TEST((fixture.Chosen(query) == std::set<std::string>{"n1", "n2"}));
  // Full servers of the region are no reason to leave it.
  fixture.balancer.ReserveLoad(ServerId("n1"), {4, 1000, 0});
  fixture.balancer.ReserveLoad(ServerId("n2"), {4, 1000, 0});
  BOOST_TEST((fixture.Chosen(query) == std::set<std::string>{"n1", "n2"}));
  fixture.balancer.SetEvacuatedZones({ZoneId("n")}, kNow);
  BOOST_TEST(fixture.Chosen(query).empty());
  BOOST_TEST(fixture.balancer.IsRestrictedToNoServer(query));
}

// Streams of an evacuated zone must not crowd out the calls of other zones.
BOOST_AUTO_TEST_CASE(EvacuationMigratesOnlyToServersWithCapacity) {
  Fixture fixture;
  fixture.balancer.SetEvacuatedZones({ZoneId("n")}, kNow);
  fixture.balancer.ReserveLoad(ServerId("s1"), {1, 940, 0});
  ServerQuery query = fixture.Query();
  query.requires_capacity = true;
  for (int i = 0; i < 50; ++i) {
    const auto target = fixture.balancer.PickMigrationTarget(
        query, ServerId("n1"), RequestId(std::to_string(i)), kNow);
    BOOST_REQUIRE(target.has_value());
    BOOST_TEST(target->id == ServerId("s2"));
  }
  fixture.balancer.ReserveLoad(ServerId("s2"), {4, 400, 0});
  BOOST_TEST(
      !fixture.balancer
           .PickMigrationTarget(query, ServerId("n1"), RequestId("r"), kNow)
           .has_value());
}

}  // namespace
}  // namespace coltsfootfork
