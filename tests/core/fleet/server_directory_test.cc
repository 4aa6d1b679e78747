#include "coltsfootfork/core/fleet/server_directory.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};
// How long the record of a removed server is kept.
constexpr Duration kRemovedExpiry = std::chrono::seconds(120);

ServerRecord Record(const std::string& id, std::uint64_t incarnation,
                    std::uint64_t sequence,
                    ServerState state = ServerState::kReady) {
  ServerRecord record;
  record.id = ServerId(id);
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.service = ServiceId("s");
  record.address = "10.0.0.1:80";
  record.state = state;
  return record;
}

ServerState StateOf(const ServerDirectory& directory, const std::string& id) {
  return directory.Find(ServerId(id))->record.state;
}

BOOST_AUTO_TEST_CASE(LaterHeartbeatWithSameStateIsNoChange) {
  ServerDirectory directory;
  BOOST_TEST(directory.Merge(Record("a", 1, 1), kNow));
  BOOST_TEST(!directory.Merge(Record("a", 1, 2), kNow));
}

// Entries are told of changes only, and must learn that a server has become
// cold again.
BOOST_AUTO_TEST_CASE(ServerThatBecomesColdAgainIsAChange) {
  ServerDirectory directory;
  ServerRecord record = Record("a", 1, 1);
  record.warmup_remaining = std::chrono::milliseconds(1000);
  directory.Merge(record, kNow);
  // The same warmup, as of a later heartbeat.
  record.sequence = 2;
  record.warmup_remaining = std::chrono::milliseconds(400);
  BOOST_TEST(!directory.Merge(record, kNow + std::chrono::milliseconds(600)));
  record.sequence = 3;
  record.warmup_remaining = std::chrono::milliseconds(900);
  const Time later = kNow + std::chrono::milliseconds(1800);
  BOOST_TEST(directory.Merge(record, later));
  // A record that is sent on names what is left of the warmup by then.
  const auto records =
      directory.Records(later + std::chrono::milliseconds(700));
  BOOST_REQUIRE(records.size() == 1U);
  BOOST_TEST(records[0].warmup_remaining.count() == 200);
}

BOOST_AUTO_TEST_CASE(HeartbeatDoesNotRevertDraining) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  BOOST_TEST(directory.Merge(Record("a", 1, 3, ServerState::kDraining), kNow));
  BOOST_TEST(!directory.Merge(Record("a", 1, 2), kNow));
  // Nor does a heartbeat with a higher sequence number.
  BOOST_TEST(!directory.Merge(Record("a", 1, 4), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kDraining);
}

BOOST_AUTO_TEST_CASE(OutOfOrderDrainNoticeStillApplies) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 5), kNow);
  BOOST_TEST(directory.Merge(Record("a", 1, 4, ServerState::kDraining), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kDraining);
}

// Two directories that differ in a few records exchange few other records.
BOOST_AUTO_TEST_CASE(SyncSendsDifferingRecordsAndFewOthers) {
  constexpr int kServers = 1000;
  ServerDirectory first;
  ServerDirectory second;
  for (int i = 0; i < kServers; ++i) {
    ServerRecord record = Record("i-" + std::to_string(i), 1, 1);
    record.address = "10.0.0.1:" + std::to_string(1000 + i);
    first.Merge(record, kNow);
    if (i != 7) second.Merge(record, kNow);
  }
  ServerRecord removed = first.Find(ServerId("i-9"))->record;
  removed.state = ServerState::kRemoved;
  first.Merge(removed, kNow);
  BOOST_CHECK(first.digest() != second.digest());
  const auto sent = first.DifferingRecords(second.BucketDigests(),
                                           second.digest().removed, kNow);
  BOOST_TEST(sent.size() < kServers / 10U);
  for (const ServerRecord& record : sent) second.Merge(record, kNow);
  BOOST_CHECK(first.digest() == second.digest());
  BOOST_TEST(first
                 .DifferingRecords(second.BucketDigests(),
                                   second.digest().removed, kNow)
                 .empty());
  BOOST_TEST(first.DifferingRecords({}, std::nullopt, kNow).size() == 1000U);
}

BOOST_AUTO_TEST_CASE(NewIncarnationOfDrainingServerIsReady) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 9, ServerState::kDraining), kNow);
  BOOST_TEST(directory.Merge(Record("a", 2, 1), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kReady);
  BOOST_TEST(!directory.Merge(Record("a", 1, 10), kNow));
}

BOOST_AUTO_TEST_CASE(LateHeartbeatOfSupersededServerAtReusedAddress) {
  ServerDirectory directory;
  directory.Merge(Record("new", 2, 1), kNow);
  directory.Merge(Record("old", 1, 8), kNow);
  BOOST_CHECK(StateOf(directory, "old") == ServerState::kRemoved);
  BOOST_CHECK(StateOf(directory, "new") == ServerState::kReady);
  // Merging in the other order gives the same result.
  ServerDirectory other;
  other.Merge(Record("old", 1, 8), kNow);
  other.Merge(Record("new", 2, 1), kNow);
  BOOST_CHECK(StateOf(other, "old") == ServerState::kRemoved);
  BOOST_CHECK(other.digest() == directory.digest());
}

BOOST_AUTO_TEST_CASE(DeregisteredServerIsNotRestored) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  BOOST_TEST(directory.MarkRemoved(ServerId("a"), 0, kNow));
  BOOST_TEST(!directory.MarkRemoved(ServerId("a"), 1, kNow));
  directory.Merge(Record("a", 1, 7), kNow);
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kRemoved);
}

BOOST_AUTO_TEST_CASE(DeregistrationOfEarlierIncarnationIsIgnored) {
  ServerDirectory directory;
  directory.Merge(Record("a", 5, 1), kNow);
  BOOST_TEST(!directory.MarkRemoved(ServerId("a"), 4, kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kReady);
}

BOOST_AUTO_TEST_CASE(DirectoriesOfSameServersHaveSameDigest) {
  ServerDirectory first;
  ServerDirectory other;
  ServerRecord second = Record("b", 1, 1);
  second.address = "10.0.0.2:80";
  first.Merge(Record("a", 1, 1), kNow);
  first.Merge(second, kNow);
  other.Merge(second, kNow);
  other.Merge(Record("a", 1, 6), kNow);
  BOOST_CHECK(first.digest() == other.digest());
  first.Merge(Record("a", 1, 7, ServerState::kDraining), kNow);
  BOOST_CHECK(first.digest() != other.digest());
  // Removed servers count separately while their records are kept.
  first.MarkRemoved(ServerId("a"), 1, kNow);
  ServerDirectory third;
  third.Merge(second, kNow);
  BOOST_TEST(first.digest().servers == third.digest().servers);
  BOOST_CHECK(first.digest() != third.digest());
  BOOST_TEST(!first.Matches(third.digest()));
  // A process of an older version sends no digest of removed servers.
  BOOST_TEST(first.Matches({third.digest().servers, std::nullopt}));
  first.Expire(kNow + kRemovedExpiry);
  BOOST_CHECK(first.digest() == third.digest());
}

// Guards against removed servers that anti-entropy did not restore: equal
// digests hid that a restarted process lacked them.
BOOST_AUTO_TEST_CASE(SyncSendsRemovedServersThatTheOtherLacks) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  directory.MarkRemoved(ServerId("a"), 1, kNow);
  ServerDirectory restarted;
  BOOST_TEST(!restarted.Matches(directory.digest()));
  for (const ServerRecord& record : directory.DifferingRecords(
           restarted.BucketDigests(), restarted.digest().removed, kNow)) {
    restarted.Merge(record, kNow);
  }
  BOOST_TEST(restarted.Matches(directory.digest()));
  restarted.Merge(Record("a", 1, 9), kNow);
  BOOST_CHECK(StateOf(restarted, "a") == ServerState::kRemoved);
}

// Guards against two processes that return an expired record to each other, so
// that neither ever deletes it.
BOOST_AUTO_TEST_CASE(RemovedServersExpireByTheTimeOfTheirRemoval) {
  ServerDirectory first;
  first.Merge(Record("a", 1, 1), kNow);
  first.MarkRemoved(ServerId("a"), 1, kNow);
  ServerDirectory second;
  const Time later = kNow + kRemovedExpiry / 2;
  for (const ServerRecord& record : first.RemovedRecords(later)) {
    second.Merge(record, later);
  }
  const auto sent = second.RemovedRecords(kNow + kRemovedExpiry);
  BOOST_TEST(sent.size() == 1U);
  first.Expire(kNow + kRemovedExpiry);
  second.Expire(kNow + kRemovedExpiry);
  BOOST_TEST(second.entries().empty());
  for (const ServerRecord& record : sent) {
    BOOST_TEST(!first.Merge(record, kNow + kRemovedExpiry));
  }
  BOOST_TEST(first.entries().empty());
}

// A process that has read the record from its disk does not know its age.
BOOST_AUTO_TEST_CASE(OlderAgeOfRemovalReplacesUnknownAge) {
  ServerDirectory first;
  first.MarkRemoved(ServerId("a"), 1, kNow);
  ServerDirectory restarted;
  const Time later = kNow + kRemovedExpiry / 2;
  restarted.Merge(Record("a", 1, 0, ServerState::kRemoved), later);
  for (const ServerRecord& record : first.RemovedRecords(later)) {
    restarted.Merge(record, later);
  }
  restarted.Expire(kNow + kRemovedExpiry);
  BOOST_TEST(restarted.entries().empty());
}

BOOST_AUTO_TEST_CASE(NumberOfRemovedServersIsBounded) {
  constexpr int kDeregistrations = 10000;
  ServerDirectory directory;
  Time now = kNow;
  for (int i = 0; i < kDeregistrations; ++i) {
    now += std::chrono::microseconds(1);
    directory.MarkRemoved(ServerId("i-" + std::to_string(i)), 1, now);
  }
  directory.Expire(now);
  BOOST_TEST(directory.entries().size() == 8192U);
  // The oldest are deleted first.
  BOOST_TEST(directory.Find(ServerId("i-0")) == nullptr);
  BOOST_TEST(directory.Find(ServerId("i-9999")) != nullptr);
}

BOOST_AUTO_TEST_CASE(ExpireRemovesTimedOutServersAndDeletesOldRecords) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  const Time timed_out = kNow + std::chrono::hours(1);
  directory.Expire(timed_out);
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kRemoved);
  directory.Expire(timed_out + std::chrono::hours(1));
  BOOST_TEST(directory.Find(ServerId("a")) == nullptr);
  BOOST_CHECK(directory.digest() == ServerDirectory().digest());
}

}  // namespace
}  // namespace coltsfootfork
