#include "coltsfootfork/adapters/http_engine_adapter.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "adapters/adapter_fixture.h"
#include "standin/announcer.h"
#include "standin/engine_server.h"

namespace coltsfootfork {
namespace {

const std::string kTokensOfA = "a t0;a t1;a t2;a t3;a t4;a t5;";
const std::string kTokensOfB = "b t0;b t1;b t2;b t3;b t4;b t5;";

// The adapter and a stand-in engine in one event loop, connected by sockets.
struct StandinFixture : AdapterFixture {
  StandinFixture() {
    options.listen = "127.0.0.1:0";
    options.server = "e1";
    options.services = {"m1"};
    options.memory_tokens = 1000;
    options.max_batch = 8;
    options.token_interval = std::chrono::milliseconds(1);
    options.agents = {adapter.listen_address()};
  }

  void Start() {
    server = std::make_unique<standin::EngineServer>(io, options);
    announcer = std::make_unique<standin::Announcer>(io, *server, options);
    announcer->Announce();
    RunUntil([&] { return !Received<EngineAnnouncement>().empty(); });
  }
  std::uint64_t Count(const char* name) const {
    standin::HttpRequest request;
    request.target("/standin/v1/runs");
    return server->Call(request).body.at(name);
  }
  void RunToEnd(const std::string& request) {
    RunUntil([&] { return !OutcomeOf(request).empty(); });
  }

  standin::StandinOptions options;
  std::unique_ptr<standin::EngineServer> server;
  std::unique_ptr<standin::Announcer> announcer;
};

BOOST_FIXTURE_TEST_CASE(StreamIsDeliveredCompletelyAndInOrder, StandinFixture) {
  Start();
  Submit("r1", "a");
  RunToEnd("r1");
  BOOST_TEST(Tokens("r1") == kTokensOfA);
  const auto completed = Received<EngineCompleted>();
  BOOST_TEST(completed.at(0).token_count == 6U);
  BOOST_TEST(completed.at(0).finish_reason == "length");
  BOOST_TEST(adapter.open_calls() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ConcurrentResponsesReachTheirOwnRequests,
                        StandinFixture) {
  options.late = std::chrono::milliseconds(50);
  Start();
  Submit("late", "a");
  Submit("early", "b");
  RunToEnd("late");
  RunToEnd("early");
  BOOST_TEST(Received<EngineCompleted>().at(0).request.value() == "early");
  BOOST_TEST(Tokens("late") == kTokensOfA);
  BOOST_TEST(Tokens("early") == kTokensOfB);
}

BOOST_FIXTURE_TEST_CASE(PreemptedStreamIsDeliveredCompletely, StandinFixture) {
  options.memory_tokens = 10;
  Start();
  Submit("r1", "a");
  Submit("r2", "b");
  RunToEnd("r1");
  RunToEnd("r2");
  BOOST_TEST(Received<EnginePreempted>().size() == Count("preemptions"));
  BOOST_TEST(Count("preemptions") > 0U);
  BOOST_TEST(Tokens("r1") == kTokensOfA);
  BOOST_TEST(Tokens("r2") == kTokensOfB);
}

BOOST_FIXTURE_TEST_CASE(StalledStreamContinuesWhereResumed, StandinFixture) {
  options.silent_after = 3;
  Start();
  Submit("r1", "a");
  RunUntil([&] { return Tokens("r1") == kTokensOfA.substr(0, 15); });
  Submit("r1", "a", 3);
  RunUntil([&] { return Tokens("r1") == kTokensOfA; });
  BOOST_TEST(Count("total") == 1U);
}

BOOST_FIXTURE_TEST_CASE(ResumeOfUnknownStreamIsRefused, StandinFixture) {
  Start();
  Submit("unknown", "a", 3);
  RunToEnd("unknown");
  BOOST_TEST(OutcomeOf("unknown") == "refused");
  BOOST_TEST(Count("total") == 0U);
}

BOOST_FIXTURE_TEST_CASE(NoMessageFollowsACancellation, StandinFixture) {
  options.token_interval = std::chrono::milliseconds(20);
  Start();
  Submit("r1", "a");
  RunUntil([&] { return !Tokens("r1").empty(); });
  const std::string before = Tokens("r1");
  adapter.Send(EngineCancel{RequestId("r1"), 1});
  RunUntil([&] { return Count("cancels") == 1U && adapter.open_calls() == 0; });
  Submit("r2", "b");
  RunToEnd("r2");
  BOOST_TEST(Tokens("r1") == before);
  BOOST_TEST(OutcomeOf("r1") == "");
}

BOOST_FIXTURE_TEST_CASE(ARefusedRequestDidNotRun, StandinFixture) {
  options.refuse_every = 1;
  Start();
  Submit("r1", "a");
  RunToEnd("r1");
  BOOST_TEST(OutcomeOf("r1") == "refused");
  BOOST_TEST(Count("total") == 0U);
}

BOOST_FIXTURE_TEST_CASE(PlainCallReturnsTheResponseOfTheService,
                        StandinFixture) {
  Start();
  Dispatch plain_call;
  plain_call.request = RequestId("sale");
  plain_call.kind = RequestKind::kPlainCall;
  plain_call.method = "PUT";
  plain_call.target = "/sales/1?x=2";
  plain_call.content_type = "text/plain";
  plain_call.body = "one scarf";
  adapter.Send(EngineSubmit{plain_call});
  RunToEnd("sale");
  const auto response = Received<EngineCompleted>().at(0);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.content_type == "application/json");
  BOOST_TEST(response.body == R"({"echo":"one scarf","run":1,"service":"m1"})");
}

BOOST_FIXTURE_TEST_CASE(OrderWithOldFencingTokenIsNotApplied, StandinFixture) {
  options.checks_fence = true;
  Start();
  adapter.Send(EngineOrder{{2, 1}, "load", "m2", "v1"});
  RunUntil([&] { return Received<EngineOrderResult>().size() == 1; });
  adapter.Send(EngineOrder{{1, 9}, "unload", "m2", "v1"});
  RunUntil([&] { return Received<EngineOrderResult>().size() == 2; });
  const auto results = Received<EngineOrderResult>();
  BOOST_TEST(results[0].applied);
  BOOST_TEST(!results[1].applied);
  BOOST_TEST((results[1].fence == FencingToken{1, 9}));
  BOOST_TEST(results[1].problem == "old fence");
}

BOOST_FIXTURE_TEST_CASE(LoadAndCacheEventsAreDelivered, StandinFixture) {
  options.event_gap_every = 2;
  Start();
  Dispatch dispatch;
  dispatch.target = "/v1/completions";
  dispatch.body = R"({"max_tokens":1,"prompt":"a"})";
  for (std::uint64_t block = 1; block <= 3; ++block) {
    dispatch.request = RequestId("r" + std::to_string(block));
    dispatch.prefix_blocks = {block, ~block};
    adapter.Send(EngineSubmit{dispatch});
    RunToEnd(dispatch.request.value());
  }
  RunUntil([&] { return Received<CacheHint>().size() == 2; });
  const auto hints = Received<CacheHint>();
  BOOST_TEST(hints[0].sequence + hints[1].sequence == 4U);
  BOOST_TEST(hints[0].added_blocks.size() == 2U);
  BOOST_TEST(!Received<EngineLoad>().empty());
  BOOST_TEST(findings.empty());
}

}  // namespace
}  // namespace coltsfootfork
