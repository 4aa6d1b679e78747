#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "platform/close_delimiting_proxy.h"
#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"

// Streams with neither a length nor chunks whose engine drains or crashes. The
// connection of a stream that stops for a migration closes like that of a
// complete one.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr int kEvents = 60;
// Several times the interval between events.
constexpr milliseconds kLate{30};

struct CloseDelimitedEngines {
  explicit CloseDelimitedEngines(GatewayOptions options = {})
      : fixture(std::move(options)) {
    std::vector<PlatformEngine*> all;
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      engines.push_back(std::make_unique<PlatformEngine>(fixture.io, id));
      PlatformEngine& engine = *engines.back();
      proxies.push_back(
          std::make_unique<CloseDelimitingProxy>(fixture.io, engine.address()));
      engine.SetAddress(proxies.back()->address());
      engine.SetEventsPerStream(kEvents);
      all.push_back(&engine);
    }
    for (PlatformEngine* engine : all) engine->SetPeers(all);
    fixture.SetPlan();
    for (PlatformEngine* engine : all) {
      Announce(*engine, ServerState::kReady);
    }
  }

  void Announce(const PlatformEngine& engine, ServerState state) {
    fixture.Announce(engine.id(), engine.address(), "model", state);
  }

  // Starts a stream and returns its engine once the caller has received some
  // events.
  PlatformEngine& StartStream() {
    done = fixture.Start(fixture.StreamRequest("/talk/1", "r1"));
    PlatformEngine* source = nullptr;
    fixture.RunUntil([&] {
      for (const auto& engine : engines) {
        if (engine->running() > 0) source = engine.get();
      }
      return source != nullptr;
    });
    for (int i = 0; i < 80; ++i) fixture.io.run_one();
    return *source;
  }

  void SetCloseDelay(milliseconds delay) {
    for (const auto& proxy : proxies) proxy->SetCloseDelay(delay);
  }

  const std::optional<HttpResponse>& Finish() {
    fixture.RunUntil([&] { return done->has_value(); });
    return (*done)->response;
  }

  int RunsMigrated() const {
    int runs = 0;
    for (const auto& engine : engines) runs += engine->runs_migrated();
    return runs;
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<PlatformEngine>> engines;
  std::vector<std::unique_ptr<CloseDelimitingProxy>> proxies;
  std::shared_ptr<std::optional<HttpFetchResult>> done;
};

void CheckComplete(const std::optional<HttpResponse>& response) {
  std::vector<int> all_ids(kEvents);
  std::iota(all_ids.begin(), all_ids.end(), 1);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(EventIds(response->body) == all_ids,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(CloseBeforeReplyToFinalTransferDoesNotEndMovedStream) {
  CloseDelimitedEngines engines;
  PlatformEngine& source = engines.StartStream();
  source.SetFinalTransferDelay(kLate);
  engines.Announce(source, ServerState::kDraining);
  CheckComplete(engines.Finish());
  BOOST_TEST(engines.RunsMigrated() == 1);
}

BOOST_AUTO_TEST_CASE(CloseAfterReplyToFinalTransferDoesNotEndMovedStream) {
  CloseDelimitedEngines engines;
  PlatformEngine& source = engines.StartStream();
  engines.SetCloseDelay(kLate);
  engines.Announce(source, ServerState::kDraining);
  CheckComplete(engines.Finish());
  BOOST_TEST(engines.RunsMigrated() == 1);
}

BOOST_AUTO_TEST_CASE(StreamStoppedAtItsSourceIsNotEndedByTheClose) {
  for (const milliseconds reply_delay : {milliseconds(0), kLate}) {
    CloseDelimitedEngines engines;
    PlatformEngine& source = engines.StartStream();
    source.SetFinalTransferDelay(reply_delay);
    engines.SetCloseDelay(reply_delay == kLate ? milliseconds(0) : kLate);
    engines.Announce(source, ServerState::kDraining);
    // From now on no engine accepts the copy, so that it stays at the source.
    for (const auto& engine : engines.engines) engine->SetRejectsCalls(true);
    const auto& response = engines.Finish();
    if (response) CheckComplete(response);
  }
}

BOOST_AUTO_TEST_CASE(StreamCompletedDuringFinalTransferIsComplete) {
  CloseDelimitedEngines engines;
  PlatformEngine& source = engines.StartStream();
  source.SetFinalTransfer(PlatformEngine::FinalTransfer::kRunHasEnded);
  source.SetFinalTransferDelay(kLate);
  engines.Announce(source, ServerState::kDraining);
  BOOST_TEST(engines.Finish().has_value());
  BOOST_TEST(engines.RunsMigrated() == 0);
}

BOOST_AUTO_TEST_CASE(StreamIsNotCompleteIfFinalTransferGetsNoReply) {
  CloseDelimitedEngines engines;
  PlatformEngine& source = engines.StartStream();
  source.SetFinalTransfer(PlatformEngine::FinalTransfer::kFailsWithoutReply);
  source.SetFinalTransferDelay(kLate);
  engines.Announce(source, ServerState::kDraining);
  BOOST_TEST(!engines.Finish().has_value());
}

BOOST_AUTO_TEST_CASE(StreamBrokenOffInsideAnEventResumesFromBackup) {
  GatewayOptions options;
  options.backup_max_fill = 0.75;
  CloseDelimitedEngines engines(options);
  PlatformEngine& source = engines.StartStream();
  for (const auto& proxy : engines.proxies) {
    proxy->SetLastBytes("id: 99\nda");
  }
  source.Crash();
  CheckComplete(engines.Finish());
  BOOST_TEST(engines.RunsMigrated() == 1);
}

BOOST_AUTO_TEST_CASE(StreamThatDrainsResumesFromBackup) {
  GatewayOptions options;
  options.backup_max_fill = 0.75;
  CloseDelimitedEngines engines(options);
  PlatformEngine& source = engines.StartStream();
  engines.Announce(source, ServerState::kDraining);
  CheckComplete(engines.Finish());
  BOOST_TEST(engines.RunsMigrated() == 1);
}

}  // namespace
}  // namespace coltsfootfork
