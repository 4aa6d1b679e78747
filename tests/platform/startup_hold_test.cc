#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "shell/clock/monotonic_now.h"

// An entry that has just started holds calls until it has a plan and servers.
namespace coltsfootfork {
namespace {

bool HasOpenCalls(const GatewayFixture& fixture, std::size_t count) {
  return fixture.gateway.open_calls() == count;
}

BOOST_AUTO_TEST_CASE(CallsBeforeFirstPlanAreHeldAndServed) {
  constexpr std::size_t kCalls = 10;
  GatewayFixture fixture;
  PlatformEngine server(fixture.io, "i-1");
  std::vector<std::shared_ptr<std::optional<HttpFetchResult>>> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(
        fixture.Start(fixture.Request("/sale/1", "r" + std::to_string(i))));
  }
  fixture.RunUntil([&] { return HasOpenCalls(fixture, kCalls); });
  fixture.SetPlan();
  // The calls stay held until a server is known as well.
  BOOST_TEST(fixture.gateway.open_calls() == kCalls);
  fixture.Announce("i-1", server.address(), "ledger");
  for (const auto& call : calls) {
    fixture.RunUntil([&] { return call->has_value(); });
    BOOST_REQUIRE((*call)->response.has_value());
    BOOST_TEST((*call)->response->status == 200);
  }
  BOOST_TEST(server.runs_started() == static_cast<int>(kCalls));
}

BOOST_AUTO_TEST_CASE(StreamBeforeFirstPlanIsHeldAndServed) {
  GatewayFixture fixture;
  PlatformEngine engine(fixture.io, "i-1");
  const auto stream = fixture.Start(fixture.StreamRequest("/talk/1", "r1"));
  fixture.RunUntil([&] { return HasOpenCalls(fixture, 1); });
  fixture.Announce("i-1", engine.address(), "model");
  fixture.SetPlan();
  fixture.RunUntil([&] { return stream->has_value(); });
  BOOST_REQUIRE((*stream)->response.has_value());
  BOOST_TEST((*stream)->response->status == 200);
  BOOST_TEST(EventIds((*stream)->response->body).size() == 20U);
}

BOOST_AUTO_TEST_CASE(ExpiredHoldIsAnsweredAsNotRun) {
  GatewayFixture fixture;
  const auto response = fixture.Fetch(fixture.Request("/sale/1", "r1"));
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 503);
  BOOST_TEST(FieldOf(*response, "Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(CallsAreRefusedAtOnceIfHoldIsDisabled) {
  GatewayOptions options;
  options.startup_hold.max_hold = std::chrono::milliseconds(0);
  GatewayFixture fixture(options);
  const auto call = fixture.Start(fixture.Request("/sale/1", "r1"));
  fixture.RunUntil([&] { return call->has_value(); });
  BOOST_TEST((*call)->response->status == 503);
}

// Guards against a call that is sent twice: the hold of the call had expired
// and its timer's handler was queued when the servers arrived. The call was
// sent to a server, and the handler sent it again.
BOOST_AUTO_TEST_CASE(CallIsSentOnceIfHoldExpiresAsServersArrive) {
  constexpr std::chrono::milliseconds kMaxHold(60);
  GatewayOptions options;
  options.startup_hold.max_hold = kMaxHold;
  GatewayFixture fixture(options);
  PlatformEngine server(fixture.io, "i-1");
  fixture.SetPlan();
  const auto first = fixture.Start(fixture.Request("/sale/1", "r1"));
  const auto second = fixture.Start(fixture.Request("/sale/1", "r2"));
  fixture.RunUntil([&] { return HasOpenCalls(fixture, 2); });
  // Both holds expire while the event loop is blocked, so that both handlers
  // are queued when the first of them runs.
  const Time both_expired_at = MonotonicNow() + 2 * kMaxHold;
  while (MonotonicNow() < both_expired_at) {
  }
  fixture.RunUntil([&] { return HasOpenCalls(fixture, 1); });
  fixture.Announce("i-1", server.address(), "ledger");
  fixture.RunUntil([&] { return first->has_value() && second->has_value(); });
  for (int i = 0; i < 20; ++i) fixture.io.poll();
  BOOST_TEST(server.runs_started() <= 1);
  for (const auto& [call, runs] : server.runs_by_call()) {
    BOOST_TEST(runs == 1, call);
  }
}

// A held call with an unknown path is rejected once the plan arrives.
BOOST_AUTO_TEST_CASE(HeldCallIsValidatedAgainstThePlan) {
  GatewayFixture fixture;
  const auto call = fixture.Start(fixture.Request("/none/1", "r1"));
  fixture.RunUntil([&] { return HasOpenCalls(fixture, 1); });
  fixture.SetPlan();
  fixture.RunUntil([&] { return call->has_value(); });
  BOOST_TEST((*call)->response->status == 404);
}

}  // namespace
}  // namespace coltsfootfork
