#include "coltsfootfork/core/control_state/control_state.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <string>

#include "core/control_state/control_fixture.h"

namespace coltsfootfork {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(OfTwoOperatorsWithOneNumberOneWins) {
  ControlState state;
  BOOST_TEST((Put(state, 0, "first").verdict == PutVerdict::kAccepted));
  BOOST_TEST((Put(state, 1, "winner").verdict == PutVerdict::kAccepted));
  const auto loser = Put(state, 1, "loser");
  BOOST_TEST((loser.verdict == PutVerdict::kConflict));
  BOOST_TEST(loser.revision == 2U);
  BOOST_TEST(loser.winner_change_id == "winner");
  BOOST_TEST(state.document() == DocumentOf("winner"));
}

BOOST_AUTO_TEST_CASE(AResendGetsTheFirstAnswerAlsoAfterASnapshot) {
  ControlState state;
  Put(state, 0, "first");
  Put(state, 0, "loser");
  for (Revision revision = 1; revision < 5; ++revision) {
    Put(state, revision, "change-" + std::to_string(revision));
  }
  ControlState restored;
  BOOST_TEST_REQUIRE(restored.Restore(state.Snapshot()));
  for (ControlState* one : {&state, &restored}) {
    const auto accepted = Put(*one, 0, "first");
    BOOST_TEST((accepted.verdict == PutVerdict::kAccepted));
    BOOST_TEST(accepted.revision == 1U);
    const auto refused = Put(*one, 0, "loser");
    BOOST_TEST((refused.verdict == PutVerdict::kConflict));
    BOOST_TEST(refused.revision == 1U);
    BOOST_TEST(refused.winner_change_id == "first");
    BOOST_TEST(one->revision() == 5U);
    BOOST_TEST(one->document() == DocumentOf("change-4"));
  }
}

BOOST_AUTO_TEST_CASE(AChangeIdOfAnotherChangeIsRefused) {
  ControlState state;
  Put(state, 0, "first");
  ControlCommand other = PutCommand(1, "second");
  std::get<PutConfiguration>(other.request).change_id = "first";
  const auto reply = std::get<PutConfigurationReply>(state.Apply(other));
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(reply.findings.size() == 1U);
  BOOST_TEST(state.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(AForgottenChangeIsNotAppliedTwice) {
  ControlState state;
  Put(state, 0, "first", milliseconds(0));
  Put(state, 1, "second", hours(47));
  BOOST_TEST(
      (Put(state, 0, "first", hours(47)).verdict == PutVerdict::kAccepted));
  BOOST_TEST(
      (Put(state, 0, "first", hours(48)).verdict == PutVerdict::kConflict));
  BOOST_TEST(state.revision() == 2U);
}

BOOST_AUTO_TEST_CASE(ADocumentWithAnotherDigestIsNotTaken) {
  ControlState state;
  ControlCommand command = PutCommand(0, "first");
  std::get<PutConfiguration>(command.request).digest = "another";
  const auto reply = std::get<PutConfigurationReply>(state.Apply(command));
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(state.revision() == 0U);
}

BOOST_AUTO_TEST_CASE(AFetchGetsAPatchOrTheWholeDocument) {
  ControlState state;
  BOOST_TEST(state.Fetch({}).payload.empty());
  for (Revision revision = 0; revision < 4; ++revision) {
    Put(state, revision, "change-" + std::to_string(revision));
  }
  const auto patch = state.Fetch({2, 0, false});
  BOOST_TEST(patch.is_patch);
  BOOST_TEST(patch.base_revision == 2U);
  BOOST_TEST((ApplyDelta(DocumentOf("change-1"), patch.payload, patch.digest) ==
              state.document()));
  const auto whole = state.Fetch({2, 0, true});
  BOOST_TEST(!whole.is_patch);
  BOOST_TEST(whole.payload == state.document());
  BOOST_TEST(!state.Fetch({0, 0, false}).is_patch);
  BOOST_TEST(state.Fetch({4, 0, false}).payload.empty());
  // A process that has seen a revision which this replica lacks gets nothing.
  BOOST_TEST(state.Fetch({9, 0, false}).payload.empty());
}

BOOST_AUTO_TEST_CASE(TheClockOfTheStateNeverGoesBack) {
  ControlState state;
  Put(state, 0, "first", hours(10));
  Put(state, 1, "second", hours(9));
  BOOST_TEST((state.clock() == hours(10)));
}

BOOST_AUTO_TEST_CASE(ClaimsObeyTheRetentionInForce) {
  ControlState state;
  const ClaimBegin begin{{WorkspaceId("demo"), "key"}, "d", RequestId("r")};
  // The fixture's documents keep claims for 1,000 s and a little more.
  Put(state, 0, "first", hours(1));
  state.Apply({hours(1), begin});
  state.Apply({hours(1) + std::chrono::seconds(999), ReadStatus{}});
  BOOST_TEST(state.claim_count() == 1U);
  state.Apply({hours(2), ReadStatus{}});
  BOOST_TEST(state.claim_count() == 0U);
}

BOOST_AUTO_TEST_CASE(ADamagedSnapshotIsRefusedWhole) {
  ControlState state;
  Put(state, 0, "first");
  state.Apply({hours(1), ClaimBegin{{WorkspaceId("demo"), "k"}, "d", {}}});
  const std::string snapshot = state.Snapshot();
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    std::string bytes = snapshot;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 2 == 0) bytes.resize(random() % bytes.size());
    ControlState target;
    Put(target, 0, "own");
    const std::string before = target.Snapshot();
    if (!target.Restore(bytes)) {
      BOOST_TEST_REQUIRE((target.Snapshot() == before));
    }
  }
}

}  // namespace
}  // namespace coltsfootfork
