#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "shell/clock/monotonic_now.h"

// Cold engines behind a gateway.
namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kColdFor{60000};

GatewayOptions Options() {
  GatewayOptions options;
  options.balancer.cold_limit = {1.5, 5};
  return options;
}

BOOST_AUTO_TEST_CASE(ColdEngineGetsItsShareAndOthersTheRest) {
  GatewayFixture fixture(Options());
  PlatformEngine cold(fixture.io, "i-cold");
  PlatformEngine warm(fixture.io, "i-warm");
  fixture.cold_request_rate = 2;
  fixture.SetPlan();
  fixture.gateway.SetEntryCount(40, MonotonicNow());
  fixture.Announce(cold.id(), cold.address(), "model", ServerState::kReady, 1,
                   "z", kColdFor);
  fixture.Announce(warm.id(), warm.address(), "model");
  for (int i = 0; i < 20; ++i) {
    const auto response = fixture.Fetch(
        fixture.StreamRequest("/talk/1", "r" + std::to_string(i)));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 200);
  }
  // One request of this entry in 25 seconds.
  BOOST_TEST(cold.arrivals() <= 1);
  BOOST_TEST(warm.runs_started() >= 19);
}

BOOST_AUTO_TEST_CASE(CallIsRefusedWithTheTimeAtWhichAColdEngineTakesIt) {
  GatewayFixture fixture(Options());
  PlatformEngine cold(fixture.io, "i-cold");
  fixture.cold_request_rate = 2;
  fixture.SetPlan();
  fixture.gateway.SetEntryCount(40, MonotonicNow());
  fixture.Announce(cold.id(), cold.address(), "model", ServerState::kReady, 1,
                   "z", kColdFor);
  int refused = 0;
  for (int i = 0; i < 3; ++i) {
    const auto response = fixture.Fetch(
        fixture.StreamRequest("/talk/1", "r" + std::to_string(i)));
    BOOST_REQUIRE(response.has_value());
    if (response->status != 503) continue;
    ++refused;
    BOOST_TEST(!FieldOf(*response, "Retry-After").empty());
  }
  BOOST_TEST(refused >= 2);
  BOOST_TEST(cold.arrivals() <= 1);
}

}  // namespace
}  // namespace coltsfootfork
