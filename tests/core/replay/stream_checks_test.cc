#include "core/replay/stream_checks.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

const RequestId kRequest("r1");

// Simulates callers, agents and a faulty entry.
struct ChecksFixture {
  ChecksFixture() {
    ActivateConfiguration(5);
    SendRequest("");
  }

  void ActivateConfiguration(Revision revision) {
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = revision;
    HandleInput(ConfigurationInForce{configuration});
  }
  void SendRequest(const std::string& key) {
    CallerRequest call;
    call.request = RequestId(key.empty() ? "r1" : "keyed");
    call.idempotency_key = key;
    HandleInput(call);
  }
  void HandleInput(const EntryInput& input) { checks.OnInput(input, "in"); }
  void HandleEffect(const EntryEffect& effect) {
    now += std::chrono::milliseconds(10);
    checks.OnEffect(effect, now, "out");
  }
  void EmitDispatch(Generation generation, bool non_idempotent = false,
                    const RequestId& request = kRequest) {
    Dispatch dispatch;
    dispatch.request = request;
    dispatch.generation = generation;
    dispatch.non_idempotent = non_idempotent;
    HandleEffect(SendToAgent{ProcessId("a"), dispatch});
  }
  void ReceiveTokenFrame(Generation generation, std::uint32_t index,
                         const std::string& text) {
    HandleInput(AgentMessage{ProcessId("a"),
                             TokenFrame{kRequest, generation, index, text}});
  }
  void EmitToken(std::uint32_t index, const std::string& text) {
    HandleEffect(DeliverToken{kRequest, index, text});
  }
  // Returns the problems found so far, without their places.
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

BOOST_FIXTURE_TEST_CASE(CompleteStreamHasNoFinding, ChecksFixture) {
  EmitDispatch(1);
  ReceiveTokenFrame(1, 0, "x");
  EmitToken(0, "x");
  HandleEffect(DeliverEnd{kRequest, "stop", 1});
  BOOST_TEST(Problems() == "");
}

BOOST_FIXTURE_TEST_CASE(TokensOutOfOrderAreReported, ChecksFixture) {
  EmitDispatch(1);
  for (std::uint32_t i = 0; i < 3; ++i) ReceiveTokenFrame(1, i, "x");
  EmitToken(1, "x");
  EmitToken(0, "x");
  BOOST_TEST(Problems() ==
             "request r1 gets token 1 before token 0;"
             "request r1 gets token 0 twice;");
}

BOOST_FIXTURE_TEST_CASE(TokensSplicedFromTwoGenerationsAreReported,
                        ChecksFixture) {
  EmitDispatch(1);
  ReceiveTokenFrame(1, 0, "a0");
  EmitToken(0, "a0");
  ReceiveTokenFrame(2, 0, "b0");
  ReceiveTokenFrame(2, 1, "b1");
  EmitToken(1, "b1");
  BOOST_TEST(Problems() ==
             "request r1 gets token 1 from no generation that its earlier "
             "tokens are of;");
}

BOOST_FIXTURE_TEST_CASE(TokenWithoutMatchingFrameIsReported, ChecksFixture) {
  EmitDispatch(1);
  ReceiveTokenFrame(1, 0, "a0");
  EmitToken(0, "other");
  BOOST_TEST(Problems().find("from no generation") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(CompleteStreamWithMissingTokensIsReported,
                        ChecksFixture) {
  EmitDispatch(1);
  ReceiveTokenFrame(1, 0, "x");
  EmitToken(0, "x");
  HandleEffect(DeliverEnd{kRequest, "stop", 2});
  BOOST_TEST(Problems() == "request r1 ends as whole with 1 of 2 tokens;");
}

BOOST_FIXTURE_TEST_CASE(SecondFinalResponseIsReported, ChecksFixture) {
  HandleEffect(DeliverProblem{kRequest, Reason::kNoServer, true, {}});
  HandleEffect(DeliverResponse{kRequest, {}});
  BOOST_TEST(Problems() == "request r1 gets a second final answer;");
}

BOOST_FIXTURE_TEST_CASE(UnprovenNotRunRefusalIsReported, ChecksFixture) {
  EmitDispatch(1);
  EmitDispatch(2);
  HandleInput(AgentMessage{
      ProcessId("a"), RequestRefused{kRequest, 2, Reason::kQueueFull, {}}});
  HandleEffect(DeliverProblem{kRequest, Reason::kQueueFull, true, {}});
  BOOST_TEST(Problems() ==
             "request r1 is refused as not run although a hand-over may have "
             "run;");
}

BOOST_FIXTURE_TEST_CASE(RepeatedNonIdempotentDispatchIsReported,
                        ChecksFixture) {
  EmitDispatch(1, true);
  HandleInput(AgentMessage{
      ProcessId("a"), RequestRefused{kRequest, 1, Reason::kQueueFull, {}}});
  EmitDispatch(2, true);
  BOOST_TEST(Problems() == "");
  HandleInput(AgentMessage{
      ProcessId("a"),
      RequestInterrupted{kRequest, 2, Reason::kServerLost, false}});
  EmitDispatch(3, true);
  BOOST_TEST(Problems() ==
             "request r1 is handed over again although it may have run;");
}

BOOST_FIXTURE_TEST_CASE(DispatchBeforeGrantedClaimIsReported, ChecksFixture) {
  const RequestId keyed("keyed");
  SendRequest("key");
  EmitDispatch(1, true, keyed);
  HandleEffect(BeginClaim{keyed, {}});
  HandleInput(ClaimReplied{keyed, {ClaimVerdict::kInProgress, {}, {}}});
  EmitDispatch(2, false, keyed);
  BOOST_TEST(Problems() ==
             "request keyed is handed over without a claim;"
             "request keyed is handed over before its claim is granted;");
}

BOOST_FIXTURE_TEST_CASE(DispatchWithWrongRankIsReported, ChecksFixture) {
  Dispatch dispatch;
  dispatch.request = kRequest;
  dispatch.rank = Rank::kUrgent;
  HandleEffect(SendToAgent{ProcessId("a"), dispatch});
  BOOST_TEST(Problems() == "request r1 has not the rank of the rules;");
}

BOOST_FIXTURE_TEST_CASE(DecreasingRevisionIsReported, ChecksFixture) {
  ActivateConfiguration(6);
  ActivateConfiguration(5);
  BOOST_TEST(Problems() == "the revision goes down from 6 to 5;");
}

BOOST_FIXTURE_TEST_CASE(ResponseToUnknownRequestIsReported, ChecksFixture) {
  HandleEffect(DeliverResponse{RequestId("r2"), {}});
  BOOST_TEST(Problems() == "request r2 was never asked for;");
}

BOOST_AUTO_TEST_CASE(AllFaultsOfAnOutcomesFileAreReportedTogether) {
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
