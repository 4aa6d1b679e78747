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

// Returns a document that differs for each revision.
std::string DocumentOf(Revision revision) {
  auto document = SampleDocument();
  document["rules"]["claim_retention_s"] = 1000 + revision;
  return CanonicalForm(document.dump()).value();
}

FetchStateReply DocumentReply(Revision revision, bool current = true) {
  FetchStateReply reply;
  reply.current = current;
  reply.revision = revision;
  reply.payload = DocumentOf(revision);
  reply.digest = Sha256Hex(reply.payload);
  return reply;
}

FetchStateReply PatchReply(Revision from, Revision to) {
  FetchStateReply reply = DocumentReply(to);
  reply.is_patch = true;
  reply.base_revision = from;
  reply.payload = MakeDelta(DocumentOf(from), DocumentOf(to)).value();
  return reply;
}

FetchStateReply UnchangedReply(Revision revision) {
  FetchStateReply reply;
  reply.current = true;
  reply.revision = revision;
  return reply;
}

ConfigurationSynchronizer SynchronizerAt(Revision revision) {
  ConfigurationSynchronizer synchronizer({}, 0);
  BOOST_TEST((synchronizer.OnReply(DocumentReply(revision), kStart).outcome ==
              ConfigurationSyncOutcome::kInForce));
  BOOST_TEST(!synchronizer.RefusalReason(kStart).has_value());
  return synchronizer;
}

BOOST_AUTO_TEST_CASE(ANewProcessFetchesAndThenServes) {
  ConfigurationSynchronizer synchronizer({}, 0);
  BOOST_TEST((synchronizer.RefusalReason(kStart) == Reason::kNotConfigured));
  BOOST_TEST(synchronizer.Tick(kStart).has_value());
  // The fetch is not repeated before the retry interval ends.
  BOOST_TEST(!synchronizer.Tick(kStart + milliseconds(499)).has_value());
  BOOST_TEST(synchronizer.Tick(kStart + milliseconds(500)).has_value());
  synchronizer.OnReply(DocumentReply(3), kStart);
  BOOST_TEST(synchronizer.in_force() == 3U);
  BOOST_TEST(!synchronizer.RefusalReason(kStart).has_value());
  BOOST_TEST(!synchronizer.Tick(kStart + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(APatchBasedOnTheRevisionInForceIsApplied) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(3);
  BOOST_TEST((synchronizer.OnReply(PatchReply(3, 5), kStart).outcome ==
              ConfigurationSyncOutcome::kInForce));
  BOOST_TEST(synchronizer.document() == DocumentOf(5));
  BOOST_TEST((synchronizer.rules()->configuration().rules.claim_retention ==
              seconds(1005)));
}

BOOST_AUTO_TEST_CASE(DelayedAndDuplicateRepliesAreIgnored) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  BOOST_TEST((synchronizer.OnReply(DocumentReply(4), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  BOOST_TEST((synchronizer.OnReply(PatchReply(3, 6), kStart).outcome ==
              ConfigurationSyncOutcome::kUnchanged));
  synchronizer.OnReply(PatchReply(5, 6), kStart);
  BOOST_TEST((synchronizer.OnReply(PatchReply(5, 6), kStart).outcome ==
              ConfigurationSyncOutcome::kUnchanged));
  BOOST_TEST(synchronizer.document() == DocumentOf(6));
}

BOOST_AUTO_TEST_CASE(ADigestMismatchFetchesTheWholeDocument) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  FetchStateReply reply = PatchReply(5, 6);
  reply.digest = Sha256Hex("another document");
  BOOST_TEST((synchronizer.OnReply(reply, kStart).outcome ==
              ConfigurationSyncOutcome::kDigestMismatch));
  BOOST_TEST(synchronizer.document() == DocumentOf(5));
  const auto fetch = synchronizer.Tick(kStart + seconds(1));
  BOOST_TEST_REQUIRE(fetch.has_value());
  BOOST_TEST(fetch->whole);
  synchronizer.OnReply(DocumentReply(6), kStart + seconds(1));
  BOOST_TEST(synchronizer.document() == DocumentOf(6));
}

BOOST_AUTO_TEST_CASE(ADocumentWithAnUnknownKeyIsNotPutInForce) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  auto document = SampleDocument();
  document["rules"]["key_of_a_later_version"] = 1;
  FetchStateReply reply = DocumentReply(6);
  reply.payload = CanonicalForm(document.dump()).value();
  reply.digest = Sha256Hex(reply.payload);
  const ConfigurationSyncResult result = synchronizer.OnReply(reply, kStart);
  BOOST_TEST((result.outcome == ConfigurationSyncOutcome::kInvalid));
  BOOST_TEST(result.findings.list().size() == 1U);
  BOOST_TEST(synchronizer.in_force() == 5U);
  BOOST_TEST((synchronizer.RefusalReason(kStart + seconds(9)) ==
              Reason::kRevisionUnconfirmed));
}

BOOST_AUTO_TEST_CASE(AHigherRevisionFromAPeerIsFetchedOrNewWorkIsRefused) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  BOOST_TEST(!synchronizer.Tick(kStart).has_value());
  synchronizer.OnRevisionSeen(6, kStart);
  BOOST_TEST(synchronizer.Tick(kStart).has_value());
  BOOST_TEST(
      !synchronizer.RefusalReason(kStart + milliseconds(8999)).has_value());
  BOOST_TEST((synchronizer.RefusalReason(kStart + seconds(9)) ==
              Reason::kRevisionUnconfirmed));
  // A peer's document ends the refusal, though it doesn't confirm the revision.
  synchronizer.OnReply(DocumentReply(6, false), kStart + seconds(10));
  BOOST_TEST(!synchronizer.RefusalReason(kStart + seconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(FrequentChangesDoNotCountAsOutdated) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  Time now = kStart;
  for (Revision revision = 6; revision < 40; ++revision) {
    now += seconds(1);
    synchronizer.OnRevisionSeen(revision + 1, now);
    synchronizer.OnReply(PatchReply(revision - 1, revision), now);
    BOOST_TEST(synchronizer.in_force() == revision);
    BOOST_TEST(!synchronizer.RefusalReason(now).has_value());
  }
}

BOOST_AUTO_TEST_CASE(WithoutControlProcessesServingContinuesUntilTheTimeout) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  const seconds unconfirmed_timeout(900);
  BOOST_TEST(
      !synchronizer.RefusalReason(kStart + unconfirmed_timeout - seconds(1))
           .has_value());
  BOOST_TEST((synchronizer.RefusalReason(kStart + unconfirmed_timeout) ==
              Reason::kRevisionUnconfirmed));
  synchronizer.OnRevisionConfirmed(5, kStart + unconfirmed_timeout);
  BOOST_TEST(
      !synchronizer.RefusalReason(kStart + unconfirmed_timeout).has_value());
}

BOOST_AUTO_TEST_CASE(AfterARestartOnlyAQuorumBackedReplyAllowsServing) {
  ConfigurationSynchronizer synchronizer({}, 50);
  // A peer has the revision, but can't confirm it as the current one.
  synchronizer.OnReply(DocumentReply(50, false), kStart);
  BOOST_TEST(synchronizer.in_force() == 50U);
  BOOST_TEST(
      (synchronizer.RefusalReason(kStart) == Reason::kRevisionUnconfirmed));
  synchronizer.OnReply(UnchangedReply(50), kStart);
  BOOST_TEST(!synchronizer.RefusalReason(kStart).has_value());
}

BOOST_AUTO_TEST_CASE(AReplyFromAReplicaWithARestoredDataFolderIsIgnored) {
  ConfigurationSynchronizer synchronizer({}, 50);
  BOOST_TEST((synchronizer.OnReply(DocumentReply(40), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  BOOST_TEST(synchronizer.in_force() == 0U);
  ConfigurationSynchronizer restored_later({}, 0);
  restored_later.RestoreHighestSeen(50);
  BOOST_TEST((restored_later.OnReply(DocumentReply(40), kStart).outcome ==
              ConfigurationSyncOutcome::kIgnoredOlder));
  ConfigurationSynchronizer running = SynchronizerAt(50);
  running.OnReply(DocumentReply(40), kStart + seconds(899));
  // The outdated reply doesn't confirm the revision in force either.
  BOOST_TEST((running.RefusalReason(kStart + seconds(900)) ==
              Reason::kRevisionUnconfirmed));
}

BOOST_AUTO_TEST_CASE(TheDirectoryVersionNeverDecreases) {
  ConfigurationSynchronizer synchronizer = SynchronizerAt(5);
  synchronizer.OnDirectoryVersionSeen(8, kStart);
  BOOST_TEST(synchronizer.Tick(kStart).has_value());
  FetchStateReply reply = UnchangedReply(5);
  reply.directory_version = 8;
  reply.directory.resize(2);
  BOOST_TEST(synchronizer.OnReply(reply, kStart).directory_changed);
  reply.directory_version = 7;
  reply.directory.clear();
  BOOST_TEST(!synchronizer.OnReply(reply, kStart).directory_changed);
  BOOST_TEST(synchronizer.directory().size() == 2U);
  BOOST_TEST(!synchronizer.Tick(kStart + seconds(1)).has_value());
}

}  // namespace
}  // namespace coltsfootfork
