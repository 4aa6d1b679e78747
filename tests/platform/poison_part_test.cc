#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/close_delimiting_proxy.h"
#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"

// Calls with a part in their prompts on which each engine crashes as it begins
// the response.
namespace coltsfootfork {
namespace {

constexpr const char* kPoisonPart = "bad001";
// Crashes from which the fleet has to learn, and calls that may still reach
// engines after them.
constexpr int kMaxCrashes = 5;
constexpr int kMaxCallsAfterwards = 3;

struct Engines {
  // `closes_in_order`: responses have neither a length nor chunks, so that a
  // crash looks like their end.
  explicit Engines(bool closes_in_order = false) {
    fixture.SetPlan();
    for (int i = 0; i < 8; ++i) {
      engines.push_back(std::make_unique<PlatformEngine>(
          fixture.io, "i-" + std::to_string(i)));
      engines.back()->SetEventsPerStream(3);
      engines.back()->SetPoisonPart(kPoisonPart);
      if (!closes_in_order) continue;
      proxies.push_back(std::make_unique<CloseDelimitingProxy>(
          fixture.io, engines.back()->address()));
      engines.back()->SetAddress(proxies.back()->address());
    }
    Announce();
  }

  // Announces each engine, as a new incarnation after each of its crashes.
  void Announce() {
    for (const auto& engine : engines) {
      fixture.Announce(engine->id(), engine->address(), "model",
                       ServerState::kReady,
                       static_cast<std::uint64_t>(engine->crashes()) + 1);
    }
  }

  std::optional<HttpResponse> Call(const std::string& parts,
                                   const std::string& path = "/talk/1") {
    HttpRequest request =
        fixture.StreamRequest(path, "r" + std::to_string(calls++));
    request.fields.push_back(
        {"Prefix-Hash", parts + ",ffff" + std::to_string(calls) + ":9"});
    auto response = fixture.Fetch(request);
    Announce();
    return response;
  }

  int Crashes() const {
    int crashes = 0;
    for (const auto& engine : engines) crashes += engine->crashes();
    return crashes;
  }

  // Lets some time pass, in which reports of other entries could arrive.
  void Wait(std::chrono::milliseconds time) {
    boost::asio::steady_timer timer(fixture.io, time);
    bool waited = false;
    timer.async_wait([&](auto) { waited = true; });
    fixture.RunUntil([&] { return waited; });
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<PlatformEngine>> engines;
  std::vector<std::unique_ptr<CloseDelimitingProxy>> proxies;
  int calls = 0;
};

BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsRefusedAtOnce) {
  Engines engines;
  // Sound calls share the first part with them.
  for (int i = 0; i < 10; ++i) engines.Call("aa01:100,bb01:20");
  for (int i = 0; i < kMaxCrashes; ++i) {
    engines.Call("aa01:100," + std::string(kPoisonPart) + ":20");
  }
  engines.Wait(std::chrono::seconds(2));
  for (int i = 0; i < 20; ++i) {
    engines.Call("aa01:100," + std::string(kPoisonPart) + ":20");
    const auto sound = engines.Call("aa01:100,bb01:20");
    BOOST_REQUIRE(sound.has_value());
    BOOST_TEST(sound->status == 200);
  }
  BOOST_TEST(engines.Crashes() <= kMaxCrashes + kMaxCallsAfterwards);
  const auto refused =
      engines.Call("aa01:100," + std::string(kPoisonPart) + ":20");
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(refused->status == 503);
  BOOST_TEST(FieldOf(*refused, "Retry-After") != "");
}

BOOST_AUTO_TEST_CASE(CrashThatClosesTheConnectionInOrderIsLearned) {
  Engines engines(/*closes_in_order=*/true);
  for (int i = 0; i < 20; ++i) {
    engines.Call("aa01:100," + std::string(kPoisonPart) + ":20");
  }
  BOOST_TEST(engines.Crashes() <= kMaxCrashes);
}

BOOST_AUTO_TEST_CASE(ResumableCallDoesNotCrashFurtherEngines) {
  Engines engines;
  for (int i = 0; i < 40; ++i) engines.Call("aa01:100", "/verdict/1");
  for (int i = 0; i < kMaxCrashes; ++i) {
    engines.Call(std::string(kPoisonPart) + ":20", "/verdict/1");
  }
  engines.Wait(std::chrono::seconds(2));
  const int crashes = engines.Crashes();
  for (int i = 0; i < 20; ++i) {
    engines.Call(std::string(kPoisonPart) + ":20", "/verdict/1");
  }
  BOOST_TEST(engines.Crashes() <= crashes + kMaxCallsAfterwards);
}

}  // namespace
}  // namespace coltsfootfork
