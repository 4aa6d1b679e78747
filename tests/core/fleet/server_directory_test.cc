#include "coltsfootfork/core/fleet/server_directory.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

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

BOOST_AUTO_TEST_CASE(ALaterHeartbeatOfTheSameStateIsNoNews) {
  ServerDirectory directory;
  BOOST_TEST(directory.Merge(Record("a", 1, 1), kNow));
  BOOST_TEST(!directory.Merge(Record("a", 1, 2), kNow));
}

BOOST_AUTO_TEST_CASE(LeavingIsNotTakenBackByALateHeartbeat) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  BOOST_TEST(directory.Merge(Record("a", 1, 3, ServerState::kDraining), kNow));
  BOOST_TEST(!directory.Merge(Record("a", 1, 2), kNow));
  // Not even by one with a higher number.
  BOOST_TEST(!directory.Merge(Record("a", 1, 4), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kDraining);
}

BOOST_AUTO_TEST_CASE(AnOvertakenNoticeOfLeavingStillCounts) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 5), kNow);
  BOOST_TEST(directory.Merge(Record("a", 1, 4, ServerState::kDraining), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kDraining);
}

// Two processes that differ in a few records tell each other little more.
BOOST_AUTO_TEST_CASE(WhatDiffersIsToldAndLittleElse) {
  constexpr int kServers = 1000;
  ServerDirectory one;
  ServerDirectory two;
  for (int i = 0; i < kServers; ++i) {
    ServerRecord record = Record("i-" + std::to_string(i), 1, 1);
    record.address = "10.0.0.1:" + std::to_string(1000 + i);
    one.Merge(record, kNow);
    if (i != 7) two.Merge(record, kNow);
  }
  ServerRecord left = one.Find(ServerId("i-9"))->record;
  left.state = ServerState::kRemoved;
  one.Merge(left, kNow);
  BOOST_TEST(one.digest() != two.digest());
  const auto told = one.DifferingRecords(two.BucketDigests());
  BOOST_TEST(told.size() < kServers / 10U);
  for (const ServerRecord& record : told) two.Merge(record, kNow);
  BOOST_TEST(one.digest() == two.digest());
  BOOST_TEST(one.DifferingRecords(two.BucketDigests()).empty());
  BOOST_TEST(one.DifferingRecords({}).size() == 1000U);
}

BOOST_AUTO_TEST_CASE(ANewIncarnationUnderTheSameNameServesAgain) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 9, ServerState::kDraining), kNow);
  BOOST_TEST(directory.Merge(Record("a", 2, 1), kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kReady);
  BOOST_TEST(!directory.Merge(Record("a", 1, 10), kNow));
}

BOOST_AUTO_TEST_CASE(ALateHeartbeatOfADeadIncarnationAtAReusedAddress) {
  ServerDirectory directory;
  directory.Merge(Record("new", 2, 1), kNow);
  directory.Merge(Record("old", 1, 8), kNow);
  BOOST_CHECK(StateOf(directory, "old") == ServerState::kRemoved);
  BOOST_CHECK(StateOf(directory, "new") == ServerState::kReady);
  // In the other order it is the same.
  ServerDirectory other;
  other.Merge(Record("old", 1, 8), kNow);
  other.Merge(Record("new", 2, 1), kNow);
  BOOST_CHECK(StateOf(other, "old") == ServerState::kRemoved);
  BOOST_TEST(other.digest() == directory.digest());
}

BOOST_AUTO_TEST_CASE(WhoHasDeregisteredDoesNotComeBack) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  BOOST_TEST(directory.MarkRemoved(ServerId("a"), 0, kNow));
  BOOST_TEST(!directory.MarkRemoved(ServerId("a"), 1, kNow));
  directory.Merge(Record("a", 1, 7), kNow);
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kRemoved);
}

BOOST_AUTO_TEST_CASE(ADeregistrationOfAnEarlierIncarnationChangesNothing) {
  ServerDirectory directory;
  directory.Merge(Record("a", 5, 1), kNow);
  BOOST_TEST(!directory.MarkRemoved(ServerId("a"), 4, kNow));
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kReady);
}

BOOST_AUTO_TEST_CASE(DirectoriesOfTheSameServersHaveTheSameDigest) {
  ServerDirectory one;
  ServerDirectory other;
  ServerRecord second = Record("b", 1, 1);
  second.address = "10.0.0.2:80";
  one.Merge(Record("a", 1, 1), kNow);
  one.Merge(second, kNow);
  other.Merge(second, kNow);
  other.Merge(Record("a", 1, 6), kNow);
  BOOST_TEST(one.digest() == other.digest());
  one.Merge(Record("a", 1, 7, ServerState::kDraining), kNow);
  BOOST_TEST(one.digest() != other.digest());
  // Who has left makes no difference, so that it may be forgotten.
  one.MarkRemoved(ServerId("a"), 1, kNow);
  ServerDirectory third;
  third.Merge(second, kNow);
  BOOST_TEST(one.digest() == third.digest());
}

BOOST_AUTO_TEST_CASE(WhoLeftLongAgoIsForgottenAndWhoIsSilentIsGone) {
  ServerDirectory directory;
  directory.Merge(Record("a", 1, 1), kNow);
  const Time silent = kNow + std::chrono::hours(1);
  directory.Expire(silent);
  BOOST_CHECK(StateOf(directory, "a") == ServerState::kRemoved);
  directory.Expire(silent + std::chrono::hours(1));
  BOOST_TEST(directory.Find(ServerId("a")) == nullptr);
  BOOST_TEST(directory.digest() == ServerDirectory().digest());
}

}  // namespace
}  // namespace coltsfootfork
