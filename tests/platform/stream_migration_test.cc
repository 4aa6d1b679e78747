#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"

// Running streams whose engine drains or crashes resume on another engine, and
// the caller receives every event exactly once.
namespace coltsfootfork {
namespace {

constexpr int kEvents = 60;

GatewayOptions BackupOptions() {
  GatewayOptions options;
  options.backup_max_fill = 0.75;
  return options;
}

struct EngineCluster {
  explicit EngineCluster(GatewayOptions options = BackupOptions())
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

  PlatformEngine* RunningEngine() {
    for (const auto& engine : engines) {
      if (engine->running() > 0) return engine.get();
    }
    return nullptr;
  }

  struct Stream {
    std::shared_ptr<std::optional<HttpFetchResult>> done;
    PlatformEngine* source;
  };
  // Starts a stream, and waits until an engine runs it and the caller has
  // received some events.
  Stream StartStream(const std::string& path) {
    Stream stream{fixture.Start(fixture.StreamRequest(path, "r1")), nullptr};
    fixture.RunUntil([&] {
      stream.source = RunningEngine();
      return stream.source != nullptr;
    });
    for (int i = 0; i < 60; ++i) fixture.io.run_one();
    return stream;
  }

  void Finish(const std::shared_ptr<std::optional<HttpFetchResult>>& done) {
    fixture.RunUntil([&] { return done->has_value(); });
  }

  int RunsStarted() const {
    int runs = 0;
    for (const auto& engine : engines) runs += engine->runs_started();
    return runs;
  }
  int RunsMigrated() const {
    int runs = 0;
    for (const auto& engine : engines) runs += engine->runs_migrated();
    return runs;
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<PlatformEngine>> engines;
};

std::vector<int> AllEventIds() {
  std::vector<int> ids(kEvents);
  std::iota(ids.begin(), ids.end(), 1);
  return ids;
}

void CheckComplete(const std::optional<HttpFetchResult>& result) {
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(result->response.has_value());
  BOOST_TEST(result->response->status == 200);
  BOOST_TEST(EventIds(result->response->body) == AllEventIds(),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(StreamMigratesToBackupWhenEngineDrains) {
  EngineCluster cluster;
  const auto done =
      cluster.fixture.Start(cluster.fixture.StreamRequest("/talk/1", "r1"));
  PlatformEngine* source = nullptr;
  cluster.fixture.RunUntil([&] {
    source = cluster.RunningEngine();
    if (source == nullptr) return false;
    for (const auto& engine : cluster.engines) {
      if (engine->HasKvCopy("r1")) return true;
    }
    return false;
  });
  // Runs the event loop until the caller has received some events.
  for (int i = 0; i < 40; ++i) cluster.fixture.io.run_one();
  cluster.Announce(*source, ServerState::kDraining);
  cluster.Finish(done);
  CheckComplete(*done);
  BOOST_TEST(cluster.RunsStarted() == 1);
  BOOST_TEST(cluster.RunsMigrated() == 1);
  BOOST_TEST(source->running() == 0U);
}

BOOST_AUTO_TEST_CASE(StreamMigratesToBackupWhenEngineCrashes) {
  EngineCluster cluster;
  const auto [done, source] = cluster.StartStream("/talk/1");
  source->Crash();
  cluster.Finish(done);
  CheckComplete(*done);
  BOOST_TEST(cluster.RunsStarted() == 1);
  BOOST_TEST(cluster.RunsMigrated() == 1);
}

BOOST_AUTO_TEST_CASE(StreamWithoutBackupMigratesByKvTransfer) {
  EngineCluster cluster((GatewayOptions()));
  const auto [done, source] = cluster.StartStream("/talk/1");
  cluster.Announce(*source, ServerState::kDraining);
  cluster.Finish(done);
  CheckComplete(*done);
  BOOST_TEST(cluster.RunsStarted() == 1);
  BOOST_TEST(cluster.RunsMigrated() == 1);
}

BOOST_AUTO_TEST_CASE(ResumableStreamIsResumedAfterEngineCrash) {
  EngineCluster cluster;
  // First attempts fill the retry budget.
  for (int i = 0; i < 8; ++i) {
    cluster.fixture.Fetch(
        cluster.fixture.StreamRequest("/verdict/1", "w" + std::to_string(i)));
  }
  const int runs_before = cluster.RunsStarted();
  const auto [done, source] = cluster.StartStream("/verdict/1");
  source->Crash();
  cluster.Finish(done);
  CheckComplete(*done);
  BOOST_TEST(cluster.RunsStarted() == runs_before + 2);
}

BOOST_AUTO_TEST_CASE(LostStreamIsAborted) {
  GatewayOptions options;
  options.migrate_streams = false;
  EngineCluster cluster(options);
  const auto [done, source] = cluster.StartStream("/talk/1");
  source->Crash();
  cluster.Finish(done);
  BOOST_TEST(!(*done)->response.has_value());
  BOOST_TEST(cluster.RunsStarted() == 1);
}

}  // namespace
}  // namespace coltsfootfork
