#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"

// Running streams whose engine leaves or dies go on at another one, with every
// event once.
namespace coltsfootfork {
namespace {

constexpr int kEvents = 60;

GatewayOptions WithBackups() {
  GatewayOptions options;
  options.backup_max_fill = 0.75;
  return options;
}

struct Engines {
  explicit Engines(GatewayOptions options = WithBackups())
      : fixture(std::move(options)) {
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      engines.push_back(std::make_unique<PlatformEngine>(fixture.io, id));
    }
    std::vector<PlatformEngine*> all;
    for (const auto& engine : engines) all.push_back(engine.get());
    for (const auto& engine : engines) {
      engine->SetPeers(all);
      engine->SetEventsPerStream(kEvents);
    }
    fixture.SetPlan();
    for (const auto& engine : engines) Announce(*engine);
  }

  void Announce(const PlatformEngine& engine,
                ServerState state = ServerState::kReady) {
    fixture.Announce(engine.id(), engine.address(), "model", state);
  }

  PlatformEngine* Running() {
    for (const auto& engine : engines) {
      if (engine->running() > 0) return engine.get();
    }
    return nullptr;
  }

  // Starts a stream, and waits until it runs and its caller has some events.
  struct Stream {
    std::shared_ptr<std::optional<HttpFetchResult>> done;
    PlatformEngine* source;
  };
  Stream StartStream(const std::string& path) {
    Stream stream{fixture.Start(fixture.StreamRequest(path, "r1")), nullptr};
    fixture.RunUntil([&] {
      stream.source = Running();
      return stream.source != nullptr;
    });
    for (int i = 0; i < 60; ++i) fixture.io.run_one();
    return stream;
  }

  void Finish(const std::shared_ptr<std::optional<HttpFetchResult>>& done) {
    fixture.RunUntil([&] { return done->has_value(); });
  }

  int RunsBegun() const {
    int runs = 0;
    for (const auto& engine : engines) runs += engine->runs_started();
    return runs;
  }
  int RunsCarried() const {
    int runs = 0;
    for (const auto& engine : engines) runs += engine->runs_migrated();
    return runs;
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<PlatformEngine>> engines;
};

std::vector<int> AllIds() {
  std::vector<int> ids(kEvents);
  std::iota(ids.begin(), ids.end(), 1);
  return ids;
}

void CheckWhole(const std::optional<HttpFetchResult>& result) {
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(result->response.has_value());
  BOOST_TEST(result->response->status == 200);
  BOOST_TEST(EventIds(result->response->body) == AllIds(),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AStreamGoesOnFromItsBackupWhenItsEngineLeaves) {
  Engines world;
  const auto done =
      world.fixture.Start(world.fixture.StreamRequest("/talk/1", "r1"));
  PlatformEngine* source = nullptr;
  world.fixture.RunUntil([&] {
    source = world.Running();
    if (source == nullptr) return false;
    for (const auto& engine : world.engines) {
      if (engine->HasKvCopy("r1")) return true;
    }
    return false;
  });
  // A few more events, so that the caller has some.
  for (int i = 0; i < 40; ++i) world.fixture.io.run_one();
  world.Announce(*source, ServerState::kDraining);
  world.Finish(done);
  CheckWhole(*done);
  BOOST_TEST(world.RunsBegun() == 1);
  BOOST_TEST(world.RunsCarried() == 1);
  BOOST_TEST(source->running() == 0U);
}

BOOST_AUTO_TEST_CASE(AStreamGoesOnFromItsBackupWhenItsEngineDies) {
  Engines world;
  const auto [done, source] = world.StartStream("/talk/1");
  source->Crash();
  world.Finish(done);
  CheckWhole(*done);
  BOOST_TEST(world.RunsBegun() == 1);
  BOOST_TEST(world.RunsCarried() == 1);
}

BOOST_AUTO_TEST_CASE(WithoutABackupTheStreamsMemoryIsMoved) {
  Engines world((GatewayOptions()));
  const auto [done, source] = world.StartStream("/talk/1");
  world.Announce(*source, ServerState::kDraining);
  world.Finish(done);
  CheckWhole(*done);
  BOOST_TEST(world.RunsBegun() == 1);
  BOOST_TEST(world.RunsCarried() == 1);
}

BOOST_AUTO_TEST_CASE(AResumableStreamIsResumedAfterItsEngineDies) {
  Engines world;
  // First calls for the budget of repeats.
  for (int i = 0; i < 8; ++i) {
    world.fixture.Fetch(
        world.fixture.StreamRequest("/verdict/1", "w" + std::to_string(i)));
  }
  const int before = world.RunsBegun();
  const auto [done, source] = world.StartStream("/verdict/1");
  source->Crash();
  world.Finish(done);
  CheckWhole(*done);
  BOOST_TEST(world.RunsBegun() == before + 2);
}

BOOST_AUTO_TEST_CASE(AStreamThatIsLostDoesNotLookComplete) {
  GatewayOptions options;
  options.migrate_streams = false;
  Engines world(options);
  const auto [done, source] = world.StartStream("/talk/1");
  source->Crash();
  world.Finish(done);
  BOOST_TEST(!(*done)->response.has_value());
  BOOST_TEST(world.RunsBegun() == 1);
}

}  // namespace
}  // namespace coltsfootfork
