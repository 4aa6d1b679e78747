#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/processes_fixture.h"

// Evacuations and cold servers with real processes that are killed.
namespace coltsfootfork {
namespace {

using nlohmann::json;

int Order(ProcessesFixture& fixture, const std::string& order) {
  return fixture
      .Call(fixture.control_address, "POST", "/api/evacuations/north/" + order,
            "")
      .status;
}

void AwaitStatus(ProcessesFixture& fixture, int status) {
  int number = 0;
  Fleet::Await("the call is answered with " + std::to_string(status), [&] {
    return fixture.Request("w" + std::to_string(number++)).status == status;
  });
}

// Guards against the loss of an acknowledged evacuation when all processes are
// killed right after the acknowledgement.
BOOST_AUTO_TEST_CASE(EvacuationOutlivesKillOfAllProcesses) {
  ProcessesFixture fixture;
  fixture.server_zone = "north";
  fixture.SetUpService();
  AwaitStatus(fixture, 200);
  Fleet::Await("the evacuation is acknowledged",
               [&] { return Order(fixture, "start") == 200; });
  fixture.Kill(fixture.control);
  fixture.Kill(fixture.entry);
  fixture.control_settings["is_first_start"] = false;
  fixture.StartControl();
  fixture.StartEntry();
  Fleet::Await("the server is registered again", [&] {
    const json heartbeat = {
        {"service", "s"},   {"address", fixture.engine.address()},
        {"state", "ready"}, {"sequence", 99},
        {"born", 1000},     {"slots", 4},
        {"zone", "north"}};
    return fixture
               .Call(fixture.control_address, "POST",
                     "/api/instances/i-1/heartbeat", heartbeat.dump())
               .status == 200;
  });
  Fleet::Await("the entry is ready", [&] {
    return fixture.Call(fixture.ready_address, "GET", "/api/readyz", "")
               .status == 200;
  });
  const int before = fixture.engine.arrivals();
  const HttpResponse refused = fixture.Request("r1");
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(fixture.engine.arrivals() == before);
  Fleet::Await("the end is acknowledged",
               [&] { return Order(fixture, "end") == 200; });
  AwaitStatus(fixture, 200);
}

// A restarted entry does not know the number of entries, and must not send a
// cold server more than its share.
BOOST_AUTO_TEST_CASE(RestartedEntryLimitsRequestsToColdServer) {
  ProcessesFixture fixture(8.0, true,
                           {{"cold_overage", 1.5}, {"cold_slack", 5}});
  fixture.cold_request_rate = 1;
  // Longer than any run of this test.
  fixture.cold_left_ms = 600000;
  fixture.SetUpService();
  fixture.Kill(fixture.entry);
  fixture.StartEntry();
  Fleet::Await("the entry is ready", [&] {
    return fixture.Call(fixture.ready_address, "GET", "/api/readyz", "")
               .status == 200;
  });
  const int before = fixture.engine.arrivals();
  int refused = 0;
  for (int i = 0; i < 30; ++i) {
    const HttpResponse response = fixture.Request("r" + std::to_string(i));
    if (response.status == 503) ++refused;
  }
  // Two requests a second may be sent at most, and the calls that a limit
  // refuses take milliseconds.
  BOOST_TEST(refused > 0);
  BOOST_TEST(fixture.engine.arrivals() - before + refused == 30);
  BOOST_TEST(fixture.engine.arrivals() - before < 30);
}

}  // namespace
}  // namespace coltsfootfork
