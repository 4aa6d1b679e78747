#include "core/routing/server_chooser.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kModel("model");

// Three servers in one zone, all past their slow start.
class Fixture {
 public:
  explicit Fixture(ChoicePolicy policy = LowestCostPolicy{}) {
    options_.policy = policy;
    servers = ServerTable(options_);
    chooser = ServerChooser(options_, 1);
    query.service = kModel;
    query.prompt_tokens = 1000;
    query.prefix_blocks = &blocks;
    query.start_within = seconds(10);
    for (int i = 0; i < 3; ++i) Add(i);
    for (int second = 0; second < 10; ++second) {
      now += seconds(1);
      for (int i = 0; i < 3; ++i) Report(i, Usual());
    }
  }

  void Add(int i) {
    const ServerIndex index = servers.FindOrAdd(Agent(i));
    servers.SetLink(index, true);
    Report(i, Usual());
  }

  static ProcessId Agent(int i) { return ProcessId("a" + std::to_string(i)); }

  static ServerReport Usual() {
    ServerReport report;
    report.server = ServerId("s");
    report.services = {kModel};
    report.serving = true;
    report.prefill_per_token = microseconds(10);
    return report;
  }

  void Report(int i, const ServerReport& report) {
    servers.ApplyReport(*servers.Find(Agent(i)), report, now);
  }

  void ReportDelay(int i, microseconds delay) {
    ServerReport report = Usual();
    report.urgent_delay = delay;
    report.deferrable_delay = delay;
    Report(i, report);
  }

  std::optional<ServerIndex> Choose() {
    return chooser.Choose(query, servers, hints, now).server;
  }

  std::map<ServerIndex, int> ChooseMany(int count) {
    std::map<ServerIndex, int> chosen;
    for (int i = 0; i < count; ++i) {
      const auto server = Choose();
      BOOST_REQUIRE(server.has_value());
      ++chosen[*server];
    }
    return chosen;
  }

  ChoiceOptions options_;
  ServerTable servers{options_};
  ServerChooser chooser{options_, 1};
  PrefixHints hints{100};
  std::vector<std::uint64_t> blocks;
  ChoiceQuery query;
  Time now{seconds(1000)};
};

BOOST_AUTO_TEST_SUITE(ServerChooserTest)

BOOST_AUTO_TEST_CASE(IneligibleServersAreNotChosen) {
  Fixture fixture;
  ServerReport draining = Fixture::Usual();
  draining.draining = true;
  fixture.Report(0, draining);
  ServerReport not_serving = Fixture::Usual();
  not_serving.serving = false;
  fixture.Report(1, not_serving);
  BOOST_TEST(fixture.ChooseMany(50)[2] == 50);
  ServerReport other_service = Fixture::Usual();
  other_service.services = {ServiceId("other")};
  fixture.Report(2, other_service);
  BOOST_TEST(!fixture.Choose().has_value());
}

BOOST_AUTO_TEST_CASE(ServerWithStaleReportOrClosedLinkIsNotChosen) {
  Fixture fixture;
  fixture.now += milliseconds(2001);
  BOOST_TEST(!fixture.Choose().has_value());
  fixture.Report(1, Fixture::Usual());
  BOOST_TEST(fixture.ChooseMany(20)[1] == 20);
  fixture.servers.SetLink(1, false);
  BOOST_TEST(!fixture.Choose().has_value());
  // The report received over the old link does not count for the new one.
  fixture.servers.SetLink(1, true);
  BOOST_TEST(!fixture.Choose().has_value());
}

BOOST_AUTO_TEST_CASE(DirectoryRemovesServers) {
  Fixture fixture;
  fixture.servers.ApplyDirectory({{Fixture::Agent(0), "", {}, {}, {}, true},
                                  {Fixture::Agent(1), "", {}, {}, {}, false}});
  BOOST_TEST(fixture.ChooseMany(20)[1] == 20);
  fixture.servers.SetLink(2, false);
  const auto removed = fixture.servers.ApplyDirectory({});
  BOOST_TEST(removed == std::vector<ServerIndex>{2});
  BOOST_TEST(fixture.servers.FindOrAdd(ProcessId("new")) == 2U);
}

BOOST_AUTO_TEST_CASE(CheapestByDelayPrefixAndZone) {
  Fixture fixture;
  fixture.ReportDelay(0, milliseconds(50));
  fixture.ReportDelay(1, milliseconds(8));
  fixture.ReportDelay(2, milliseconds(50));
  BOOST_TEST(*fixture.Choose() == 1U);
  // 1000 tokens at 10 us each are saved, worth less than 42 ms of waiting.
  fixture.blocks = {1, 2, 3, 4};
  fixture.hints.Apply(0, {ServerId("s"), 1, {1, 2, 3, 4}, {}});
  BOOST_TEST(*fixture.Choose() == 1U);
  fixture.ReportDelay(0, milliseconds(15));
  BOOST_TEST(*fixture.Choose() == 0U);
}

BOOST_AUTO_TEST_CASE(OverloadedServerWithThePrefixIsNotChosen) {
  Fixture fixture;
  fixture.blocks = {1};
  fixture.hints.Apply(0, {ServerId("s"), 1, {1}, {}});
  fixture.ReportDelay(0, seconds(11));
  BOOST_TEST(fixture.ChooseMany(50)[0] == 0);
}

BOOST_AUTO_TEST_CASE(OverloadOfAllServersReportsTheExcessDelay) {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) fixture.ReportDelay(i, seconds(12 + i));
  const Choice choice = fixture.chooser.Choose(fixture.query, fixture.servers,
                                               fixture.hints, fixture.now);
  BOOST_TEST(!choice.server.has_value());
  BOOST_TEST(choice.overloaded);
  BOOST_TEST(choice.excess.count() == 2000);
}

BOOST_AUTO_TEST_CASE(DispatchesSinceTheReportAddToTheCost) {
  Fixture fixture;
  fixture.ReportDelay(1, milliseconds(30));
  fixture.ReportDelay(2, milliseconds(30));
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(*fixture.Choose() == 0U);
    fixture.servers.RecordDispatch(0, Rank::kDeferrable, milliseconds(9),
                                   fixture.now);
  }
  BOOST_TEST(*fixture.Choose() != 0U);
  // Deferrable dispatches do not delay urgent requests.
  fixture.query.rank = Rank::kUrgent;
  BOOST_TEST(*fixture.Choose() == 0U);
  fixture.query.rank = Rank::kDeferrable;
  // A report right after the dispatches does not include them; a later one
  // does.
  fixture.ReportDelay(0, {});
  BOOST_TEST(*fixture.Choose() != 0U);
  fixture.now += milliseconds(60);
  fixture.ReportDelay(0, {});
  BOOST_TEST(*fixture.Choose() == 0U);
}

BOOST_AUTO_TEST_CASE(SaturationIsPredictedBetweenReports) {
  Fixture fixture;
  ServerReport full = Fixture::Usual();
  full.running_requests = 8;
  full.queued_requests = 1;
  full.deferrable_delay = milliseconds(200);
  fixture.Report(0, full);
  const auto delay = [&] {
    return fixture.servers.ExpectedDelay(0, Rank::kDeferrable).count();
  };
  BOOST_TEST(delay() == 200000);
  for (int i = 0; i < 9; ++i) {
    fixture.servers.OnDispatched(0, Rank::kDeferrable);
  }
  fixture.Report(0, full);
  // Each further dispatch adds one start interval, here 100 ms, and each ended
  // request subtracts one.
  fixture.servers.OnDispatched(0, Rank::kDeferrable);
  BOOST_TEST(delay() == 300000);
  fixture.servers.OnReleased(0, Rank::kDeferrable);
  fixture.servers.OnReleased(0, Rank::kDeferrable);
  BOOST_TEST(delay() == 100000);
  // A nearly saturated server has a delay; one well below saturation has none.
  ServerReport report = Fixture::Usual();
  report.running_requests = 7;
  fixture.Report(0, report);
  BOOST_TEST(delay() == 150000);
  report.running_requests = 5;
  fixture.Report(0, report);
  BOOST_TEST(delay() == 0);
  // A new incarnation of the server may have another concurrency.
  report.incarnation = 2;
  report.running_requests = 7;
  fixture.Report(0, report);
  BOOST_TEST(delay() == 0);
}

BOOST_AUTO_TEST_CASE(RecoveredServerIsRampedUp) {
  Fixture fixture;
  for (int i = 1; i < 3; ++i) fixture.ReportDelay(i, milliseconds(5));
  ServerReport restarted = Fixture::Usual();
  restarted.incarnation = 2;
  fixture.Report(0, restarted);
  const int early = fixture.ChooseMany(400)[0];
  BOOST_TEST(early > 0);
  BOOST_TEST(early < 60);
  for (int second = 0; second < 5; ++second) {
    fixture.now += seconds(1);
    for (int i = 1; i < 3; ++i) fixture.ReportDelay(i, milliseconds(5));
    fixture.Report(0, restarted);
  }
  const int half = fixture.ChooseMany(400)[0];
  BOOST_TEST(half > 150);
  BOOST_TEST(half < 250);
}

BOOST_AUTO_TEST_CASE(SameSeedGivesSameChoices) {
  Fixture one;
  Fixture two;
  for (int i = 0; i < 50; ++i) BOOST_TEST(*one.Choose() == *two.Choose());
}

BOOST_AUTO_TEST_CASE(RoundRobinAndLeastOutstandingPolicies) {
  Fixture round_robin{RoundRobinPolicy{}};
  for (ServerIndex i = 0; i < 6; ++i) {
    BOOST_TEST(*round_robin.Choose() == i % 3);
  }
  Fixture least_outstanding{LeastOutstandingPolicy{}};
  for (const ServerIndex server : {0U, 2U, 0U, 2U, 1U}) {
    least_outstanding.servers.OnDispatched(server, Rank::kUrgent);
  }
  BOOST_TEST(*least_outstanding.Choose() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
