#include "core/replay/stream_checks.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

const RequestId kRequest("r1");

// Plays what callers, agents and an entry with a fault would do.
struct ChecksFixture {
  ChecksFixture() {
    InForce(5);
    Ask("");
  }

  void InForce(Revision revision) {
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = revision;
    In(ConfigurationInForce{configuration});
  }
  void Ask(const std::string& key) {
    CallerRequest call;
    call.request = RequestId(key.empty() ? "r1" : "keyed");
    call.idempotency_key = key;
    In(call);
  }
  void In(const EntryInput& input) { checks.OnInput(input, "in"); }
  void Out(const EntryEffect& effect) {
    now += std::chrono::milliseconds(10);
    checks.OnEffect(effect, now, "out");
  }
  void Dispatched(Generation generation, bool non_idempotent = false,
                  const RequestId& request = kRequest) {
    Dispatch dispatch;
    dispatch.request = request;
    dispatch.generation = generation;
    dispatch.non_idempotent = non_idempotent;
    Out(SendToAgent{ProcessId("a"), dispatch});
  }
  void Frame(Generation generation, std::uint32_t index,
             const std::string& text) {
    In(AgentMessage{ProcessId("a"),
                    TokenFrame{kRequest, generation, index, text}});
  }
  void Delivered(std::uint32_t index, const std::string& text) {
    Out(DeliverToken{kRequest, index, text});
  }
  // The problems so far, without the request's name.
  std::string Problems() {
    std::string text;
    for (const Finding& finding : findings.list()) {
      text += finding.problem + ";";
    }
    return text;
  }

  Findings findings;
  StreamChecks checks{&findings};
  Time now;
};

BOOST_FIXTURE_TEST_CASE(AWholeStreamHasNoFinding, ChecksFixture) {
  Dispatched(1);
  Frame(1, 0, "x");
  Delivered(0, "x");
  Out(DeliverEnd{kRequest, "stop", 1});
  BOOST_TEST(Problems() == "");
}

BOOST_FIXTURE_TEST_CASE(TokensOutOfOrderAreFound, ChecksFixture) {
  Dispatched(1);
  for (std::uint32_t i = 0; i < 3; ++i) Frame(1, i, "x");
  Delivered(1, "x");
  Delivered(0, "x");
  BOOST_TEST(Problems() ==
             "request r1 gets token 1 before token 0;"
             "request r1 gets token 0 twice;");
}

BOOST_FIXTURE_TEST_CASE(TwoGenerationsSplicedAreFound, ChecksFixture) {
  Dispatched(1);
  Frame(1, 0, "a0");
  Delivered(0, "a0");
  Frame(2, 0, "b0");
  Frame(2, 1, "b1");
  Delivered(1, "b1");
  BOOST_TEST(Problems() ==
             "request r1 gets token 1 from no generation that its earlier "
             "tokens are of;");
}

BOOST_FIXTURE_TEST_CASE(ATokenThatNoServerMadeIsFound, ChecksFixture) {
  Dispatched(1);
  Frame(1, 0, "a0");
  Delivered(0, "other");
  BOOST_TEST(Problems().find("from no generation") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(AShortWholeStreamIsFound, ChecksFixture) {
  Dispatched(1);
  Frame(1, 0, "x");
  Delivered(0, "x");
  Out(DeliverEnd{kRequest, "stop", 2});
  BOOST_TEST(Problems() == "request r1 ends as whole with 1 of 2 tokens;");
}

BOOST_FIXTURE_TEST_CASE(WhatComesAfterTheEndIsFound, ChecksFixture) {
  Out(DeliverProblem{kRequest, Reason::kNoServer, true, {}});
  Out(DeliverResponse{kRequest, {}});
  BOOST_TEST(Problems() == "request r1 gets a second final answer;");
}

BOOST_FIXTURE_TEST_CASE(NotRunWithoutProofIsFound, ChecksFixture) {
  Dispatched(1);
  Dispatched(2);
  In(AgentMessage{ProcessId("a"),
                  RequestRefused{kRequest, 2, Reason::kQueueFull, {}}});
  Out(DeliverProblem{kRequest, Reason::kQueueFull, true, {}});
  BOOST_TEST(Problems() ==
             "request r1 is refused as not run although a hand-over may have "
             "run;");
}

BOOST_FIXTURE_TEST_CASE(ASecondRunOfANonIdempotentCallIsFound, ChecksFixture) {
  Dispatched(1, true);
  In(AgentMessage{ProcessId("a"),
                  RequestRefused{kRequest, 1, Reason::kQueueFull, {}}});
  Dispatched(2, true);
  BOOST_TEST(Problems() == "");
  In(AgentMessage{ProcessId("a"),
                  RequestInterrupted{kRequest, 2, Reason::kServerLost, false}});
  Dispatched(3, true);
  BOOST_TEST(Problems() ==
             "request r1 is handed over again although it may have run;");
}

BOOST_FIXTURE_TEST_CASE(AHandOverBeforeItsClaimIsFound, ChecksFixture) {
  const RequestId keyed("keyed");
  Ask("key");
  Dispatched(1, true, keyed);
  Out(BeginClaim{keyed, {}});
  In(ClaimReplied{keyed, {ClaimVerdict::kInProgress, {}, {}}});
  Dispatched(2, false, keyed);
  BOOST_TEST(Problems() ==
             "request keyed is handed over without a claim;"
             "request keyed is handed over before its claim is granted;");
}

BOOST_FIXTURE_TEST_CASE(ARankBesideTheRulesIsFound, ChecksFixture) {
  Dispatch dispatch;
  dispatch.request = kRequest;
  dispatch.rank = Rank::kUrgent;
  Out(SendToAgent{ProcessId("a"), dispatch});
  BOOST_TEST(Problems() == "request r1 has not the rank of the rules;");
}

BOOST_FIXTURE_TEST_CASE(ARevisionThatGoesDownIsFound, ChecksFixture) {
  InForce(6);
  InForce(5);
  BOOST_TEST(Problems() == "the revision goes down from 6 to 5;");
}

BOOST_FIXTURE_TEST_CASE(AnAnswerForNobodyIsFound, ChecksFixture) {
  Out(DeliverResponse{RequestId("r2"), {}});
  BOOST_TEST(Problems() == "request r2 was never asked for;");
}

BOOST_AUTO_TEST_CASE(FaultsOfTheOutcomesAreReportedTogether) {
  Findings findings;
  BOOST_TEST(!ParseOutcomes(R"({"requests":{"a/b":{"end":"ended","tokens":-1,)"
                            R"("not_run":1,"other":1}},"reasons":{"none_such":)"
                            R"(1},"same_effects":0,"max_stall_ms":"1"})",
                            &findings));
  std::string places;
  for (const Finding& finding : findings.list()) places += finding.place + " ";
  BOOST_TEST(places ==
             "/max_stall_ms /reasons/none_such /requests/a~1b/end "
             "/requests/a~1b/not_run /requests/a~1b/other "
             "/requests/a~1b/tokens /same_effects ");
  BOOST_TEST(!ParseOutcomes("no JSON", &findings));
}

}  // namespace
}  // namespace coltsfootfork
