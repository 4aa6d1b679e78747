#include "coltsfootfork/core/configuration/configuration_synchronizer.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/configuration_delta.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};

// A document that differs from revision to revision.
std::string DocumentOf(Revision revision) {
  auto document = SampleDocument();
  document["rules"]["claim_retention_s"] = 1000 + revision;
  return CanonicalForm(document.dump()).value();
}

FetchStateReply Whole(Revision revision, bool current = true) {
  FetchStateReply reply;
  reply.current = current;
  reply.revision = revision;
  reply.payload = DocumentOf(revision);
  reply.digest = Sha256Hex(reply.payload);
  return reply;
}

FetchStateReply Patch(Revision from, Revision to) {
  FetchStateReply reply = Whole(to);
  reply.is_patch = true;
  reply.base_revision = from;
  reply.payload = MakeDelta(DocumentOf(from), DocumentOf(to)).value();
  return reply;
}

FetchStateReply Unchanged(Revision revision) {
  FetchStateReply reply;
  reply.current = true;
  reply.revision = revision;
  return reply;
}

ConfigurationSynchronizer FollowerAt(Revision revision) {
  ConfigurationSynchronizer follower({}, 0);
  BOOST_TEST((follower.OnReply(Whole(revision), kStart).outcome ==
              ConfigurationSyncOutcome::kInForce));
  BOOST_TEST(!follower.RefusalReason(kStart).has_value());
  return follower;
}

BOOST_AUTO_TEST_CASE(AFreshProcessAsksAndThenServes) {
  ConfigurationSynchronizer follower({}, 0);
  BOOST_TEST((follower.RefusalReason(kStart) == Reason::kNotConfigured));
  BOOST_TEST(follower.Tick(kStart).has_value());
  // The same question is not asked again before its answer is late.
  BOOST_TEST(!follower.Tick(kStart + milliseconds(499)).has_value());
  BOOST_TEST(follower.Tick(kStart + milliseconds(500)).has_value());
  follower.OnReply(Whole(3), kStart);
  BOOST_TEST(follower.in_force() == 3U);
  BOOST_TEST(!follower.RefusalReason(kStart).has_value());
  BOOST_TEST(!follower.Tick(kStart + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(APatchFromTheRevisionInForceIsApplied) {
  ConfigurationSynchronizer follower = FollowerAt(3);
  BOOST_TEST((follower.OnReply(Patch(3, 5), kStart).outcome ==
              ConfigurationSyncOutcome::kInForce));
  BOOST_TEST(follower.document() == DocumentOf(5));
  BOOST_TEST((follower.rules()->configuration().rules.claim_retention ==
              seconds(1005)));
}

BOOST_AUTO_TEST_CASE(LateAndRepeatedRepliesChangeNothing) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  BOOST_TEST((follower.OnReply(Whole(4), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  BOOST_TEST((follower.OnReply(Patch(3, 6), kStart).outcome ==
              ConfigurationSyncOutcome::kUnchanged));
  follower.OnReply(Patch(5, 6), kStart);
  BOOST_TEST((follower.OnReply(Patch(5, 6), kStart).outcome ==
              ConfigurationSyncOutcome::kUnchanged));
  BOOST_TEST(follower.document() == DocumentOf(6));
}

BOOST_AUTO_TEST_CASE(AWrongDigestLeadsToTheWholeDocument) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  FetchStateReply reply = Patch(5, 6);
  reply.digest = Sha256Hex("another document");
  BOOST_TEST((follower.OnReply(reply, kStart).outcome ==
              ConfigurationSyncOutcome::kDigestMismatch));
  BOOST_TEST(follower.document() == DocumentOf(5));
  const auto fetch = follower.Tick(kStart + seconds(1));
  BOOST_TEST_REQUIRE(fetch.has_value());
  BOOST_TEST(fetch->whole);
  follower.OnReply(Whole(6), kStart + seconds(1));
  BOOST_TEST(follower.document() == DocumentOf(6));
}

BOOST_AUTO_TEST_CASE(ADocumentThatThisBinaryCannotReadStaysOut) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  auto document = SampleDocument();
  document["rules"]["key_of_a_later_version"] = 1;
  FetchStateReply reply = Whole(6);
  reply.payload = CanonicalForm(document.dump()).value();
  reply.digest = Sha256Hex(reply.payload);
  const ConfigurationSyncResult result = follower.OnReply(reply, kStart);
  BOOST_TEST((result.outcome == ConfigurationSyncOutcome::kInvalid));
  BOOST_TEST(result.findings.list().size() == 1U);
  BOOST_TEST(follower.in_force() == 5U);
  BOOST_TEST((follower.RefusalReason(kStart + seconds(9)) ==
              Reason::kRevisionUnconfirmed));
}

BOOST_AUTO_TEST_CASE(AHigherRevisionFromAPeerIsFetchedAndBoundsNewWork) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  BOOST_TEST(!follower.Tick(kStart).has_value());
  follower.OnRevisionSeen(6, kStart);
  BOOST_TEST(follower.Tick(kStart).has_value());
  BOOST_TEST(!follower.RefusalReason(kStart + milliseconds(8999)).has_value());
  BOOST_TEST((follower.RefusalReason(kStart + seconds(9)) ==
              Reason::kRevisionUnconfirmed));
  // A peer's document ends the delay, though it confirms nothing.
  follower.OnReply(Whole(6, false), kStart + seconds(10));
  BOOST_TEST(!follower.RefusalReason(kStart + seconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(ASteadyFlowOfChangesIsNoDelay) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  Time now = kStart;
  for (Revision revision = 6; revision < 40; ++revision) {
    now += seconds(1);
    follower.OnRevisionSeen(revision + 1, now);
    follower.OnReply(Patch(revision - 1, revision), now);
    BOOST_TEST(follower.in_force() == revision);
    BOOST_TEST(!follower.RefusalReason(now).has_value());
  }
}

BOOST_AUTO_TEST_CASE(WithoutControlServingGoesOnToTheStatedBound) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  const seconds bound(900);
  BOOST_TEST(!follower.RefusalReason(kStart + bound - seconds(1)).has_value());
  BOOST_TEST(
      (follower.RefusalReason(kStart + bound) == Reason::kRevisionUnconfirmed));
  follower.OnRevisionConfirmed(5, kStart + bound);
  BOOST_TEST(!follower.RefusalReason(kStart + bound).has_value());
}

BOOST_AUTO_TEST_CASE(AfterARestartOnlyAQuorumBackedReplyOpensTheWay) {
  ConfigurationSynchronizer follower({}, 50);
  // A peer has the right revision, but cannot say that it is the current one.
  follower.OnReply(Whole(50, false), kStart);
  BOOST_TEST(follower.in_force() == 50U);
  BOOST_TEST((follower.RefusalReason(kStart) == Reason::kRevisionUnconfirmed));
  follower.OnReply(Unchanged(50), kStart);
  BOOST_TEST(!follower.RefusalReason(kStart).has_value());
}

BOOST_AUTO_TEST_CASE(AReplicaWithARestoredFolderBringsNothingBack) {
  ConfigurationSynchronizer follower({}, 50);
  BOOST_TEST((follower.OnReply(Whole(40), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  BOOST_TEST(follower.in_force() == 0U);
  ConfigurationSynchronizer late({}, 0);
  late.RestoreHighestSeen(50);
  BOOST_TEST((late.OnReply(Whole(40), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  ConfigurationSynchronizer running = FollowerAt(50);
  running.OnReply(Whole(40), kStart + seconds(899));
  // The old state confirms nothing either.
  BOOST_TEST((running.RefusalReason(kStart + seconds(900)) ==
              Reason::kRevisionUnconfirmed));
}

BOOST_AUTO_TEST_CASE(TheDirectoryGoesForwardOnly) {
  ConfigurationSynchronizer follower = FollowerAt(5);
  follower.OnDirectoryVersionSeen(8, kStart);
  BOOST_TEST(follower.Tick(kStart).has_value());
  FetchStateReply reply = Unchanged(5);
  reply.directory_version = 8;
  reply.directory.resize(2);
  BOOST_TEST(follower.OnReply(reply, kStart).directory_changed);
  reply.directory_version = 7;
  reply.directory.clear();
  BOOST_TEST(!follower.OnReply(reply, kStart).directory_changed);
  BOOST_TEST(follower.directory().size() == 2U);
  BOOST_TEST(!follower.Tick(kStart + seconds(1)).has_value());
}

}  // namespace
}  // namespace coltsfootfork
