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

BOOST_AUTO_TEST_CASE(OfTwoChangesForOneRevisionOneIsAccepted) {
  ControlState state;
  BOOST_TEST((Put(state, 0, "first").verdict == PutVerdict::kAccepted));
  BOOST_TEST((Put(state, 1, "winner").verdict == PutVerdict::kAccepted));
  const auto conflicting = Put(state, 1, "loser");
  BOOST_TEST((conflicting.verdict == PutVerdict::kConflict));
  BOOST_TEST(conflicting.revision == 2U);
  BOOST_TEST(conflicting.winner_change_id == "winner");
  BOOST_TEST(state.document() == DocumentOf("winner"));
}

BOOST_AUTO_TEST_CASE(ARetryReceivesTheFirstReplyAlsoAfterASnapshot) {
  ControlState state;
  Put(state, 0, "first");
  Put(state, 0, "loser");
  for (Revision revision = 1; revision < 5; ++revision) {
    Put(state, revision, "change-" + std::to_string(revision));
  }
  ControlState restored;
  BOOST_TEST_REQUIRE(restored.Restore(state.Snapshot()));
  for (ControlState* replica : {&state, &restored}) {
    const auto accepted = Put(*replica, 0, "first");
    BOOST_TEST((accepted.verdict == PutVerdict::kAccepted));
    BOOST_TEST(accepted.revision == 1U);
    const auto refused = Put(*replica, 0, "loser");
    BOOST_TEST((refused.verdict == PutVerdict::kConflict));
    BOOST_TEST(refused.revision == 1U);
    BOOST_TEST(refused.winner_change_id == "first");
    BOOST_TEST(replica->revision() == 5U);
    BOOST_TEST(replica->document() == DocumentOf("change-4"));
  }
}

BOOST_AUTO_TEST_CASE(AChangeIdReusedForAnotherChangeIsRefused) {
  ControlState state;
  Put(state, 0, "first");
  ControlCommand reused = PutCommand(1, "second");
  std::get<PutConfiguration>(reused.request).change_id = "first";
  const auto reply = std::get<PutConfigurationReply>(state.Apply(reused));
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(reply.findings.size() == 1U);
  BOOST_TEST(state.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(AChangeWhoseReplyHasExpiredIsNotAppliedTwice) {
  ControlState state;
  Put(state, 0, "first", milliseconds(0));
  Put(state, 1, "second", hours(47));
  BOOST_TEST(
      (Put(state, 0, "first", hours(47)).verdict == PutVerdict::kAccepted));
  BOOST_TEST(
      (Put(state, 0, "first", hours(48)).verdict == PutVerdict::kConflict));
  BOOST_TEST(state.revision() == 2U);
}

BOOST_AUTO_TEST_CASE(ADocumentWithAnotherDigestIsRefused) {
  ControlState state;
  ControlCommand command = PutCommand(0, "first");
  std::get<PutConfiguration>(command.request).digest = "another";
  const auto reply = std::get<PutConfigurationReply>(state.Apply(command));
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(state.revision() == 0U);
}

BOOST_AUTO_TEST_CASE(AFetchReturnsAPatchOrTheWholeDocument) {
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
  // A requester with a later revision than this replica's receives no payload.
  BOOST_TEST(state.Fetch({9, 0, false}).payload.empty());
}

BOOST_AUTO_TEST_CASE(TheClockOfTheStateNeverDecreases) {
  ControlState state;
  Put(state, 0, "first", hours(10));
  Put(state, 1, "second", hours(9));
  BOOST_TEST((state.clock() == hours(10)));
}

BOOST_AUTO_TEST_CASE(ClaimsExpireAfterTheConfiguredRetention) {
  ControlState state;
  const ClaimBegin begin{{WorkspaceId("demo"), "key"}, "d", RequestId("r")};
  // The fixture's documents set a claim retention of at least 1,000 s.
  Put(state, 0, "first", hours(1));
  state.Apply({hours(1), begin});
  state.Apply({hours(1) + std::chrono::seconds(999), ReadStatus{}});
  BOOST_TEST(state.claim_count() == 1U);
  state.Apply({hours(2), ReadStatus{}});
  BOOST_TEST(state.claim_count() == 0U);
}

BOOST_AUTO_TEST_CASE(ACorruptSnapshotLeavesTheStateUnchanged) {
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
