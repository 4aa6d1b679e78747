#include "coltsfootfork/core/replication/replica_codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coltsfootfork/core/replication/log_codec.h"

namespace coltsfootfork {
namespace {

namespace leaf = boost::leaf;

// Decodes the bytes and encodes the message again; returns "ERROR PLACE:
// PROBLEM" if decoding fails.
std::string DecodeAndReencode(const std::string& bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(message, DecodeReplicaMessage(bytes));
        return EncodeReplicaMessage(message);
      },
      [](const CodecError& error) {
        return "ERROR " + error.place + ": " + error.problem;
      },
      []() { return std::string("unknown error"); });
}

Membership MakeMembership() {
  Member member;
  member.id = {ProcessId("a"), 1};
  member.zone = ZoneId("x");
  member.role = MemberRole::kLeaving;
  Membership membership;
  membership.members.push_back(member);
  return membership;
}

std::vector<ReplicaMessage> OneOfEachKind() {
  const std::string binary("\0\xff\x80 any bytes", 13);
  AppendRequest append{5, 6, 7, 8, 9, {}};
  append.entries.push_back({7, 5, EntryKind::kNoOp, {}, {}});
  append.entries.push_back({8, 5, EntryKind::kCommand, binary, {}});
  append.entries.push_back(
      {9, 5, EntryKind::kMembership, {}, MakeMembership()});
  const std::vector<ReplicaMessageBody> bodies = {
      VoteRequest{true, 2, 3, 4},
      VoteReply{false, 2, true},
      append,
      AppendReply{3, true, 4, 0, 6},
      AppendReply{3, false, 4, 5, 6},
      SnapshotChunk{1, 2, 3, MakeMembership(), 4, 5, 6, binary},
      SnapshotReply{1, 2, 3, true, 4},
      Probe{ZoneId("x")},
      ProbeReply{ZoneId("x"), ProcessId("a"), {ProcessId("a")}},
      StaleTermReply{4}};
  std::vector<ReplicaMessage> messages;
  messages.reserve(bodies.size());
  for (const ReplicaMessageBody& body : bodies) {
    messages.push_back({~Incarnation{0}, 12, 13, body});
  }
  return messages;
}

BOOST_AUTO_TEST_CASE(EveryMessageKindRoundTrips) {
  for (const ReplicaMessage& message : OneOfEachKind()) {
    const std::string bytes = EncodeReplicaMessage(message);
    BOOST_TEST(DecodeAndReencode(bytes) == bytes);
  }
}

BOOST_AUTO_TEST_CASE(EntriesRoundTrip) {
  const ReplicaMessage message = OneOfEachKind()[2];
  const auto decoded = DecodeReplicaMessage(EncodeReplicaMessage(message));
  BOOST_REQUIRE(decoded);
  const auto& body = std::get<AppendRequest>(decoded->body);
  BOOST_TEST((body.entries == std::get<AppendRequest>(message.body).entries));
}

BOOST_AUTO_TEST_CASE(UnknownFieldIsIgnored) {
  const std::string bytes = EncodeReplicaMessage(OneOfEachKind()[0]);
  nlohmann::json json = nlohmann::json::from_cbor(bytes);
  json["later"] = {{"any", "thing"}};
  std::string longer;
  nlohmann::json::to_cbor(json, longer);
  BOOST_TEST(DecodeAndReencode(longer) == bytes);
}

BOOST_AUTO_TEST_CASE(MalformedInputReportsItsPlace) {
  BOOST_TEST(DecodeAndReencode("") ==
             "ERROR : invalid CBOR, or nested too deeply");
  BOOST_TEST(DecodeAndReencode(std::string(200000, '\x81')) ==
             "ERROR : invalid CBOR, or nested too deeply");
  BOOST_TEST(DecodeAndReencode("\x01") == "ERROR : not a CBOR map");
  const std::string bytes = EncodeReplicaMessage(OneOfEachKind()[2]);
  nlohmann::json json = nlohmann::json::from_cbor(bytes);
  json["e"][1]["t"] = "text";
  std::string damaged;
  nlohmann::json::to_cbor(json, damaged);
  BOOST_TEST(DecodeAndReencode(damaged) ==
             "ERROR /e/1/t: not an unsigned number");
  json["k"] = 99;
  damaged.clear();
  nlohmann::json::to_cbor(json, damaged);
  BOOST_TEST(DecodeAndReencode(damaged) == "ERROR /k: unknown message kind");
}

BOOST_AUTO_TEST_CASE(CorruptedBytesDoNotCrash) {
  for (const ReplicaMessage& message : OneOfEachKind()) {
    const std::string bytes = EncodeReplicaMessage(message);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      BOOST_TEST(DecodeAndReencode(bytes.substr(0, at)).find("ERROR") == 0U);
      for (const int flip : {0x01, 0x20, 0x80, 0xff}) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ flip);
        BOOST_TEST(DecodeAndReencode(damaged) != "unknown error");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LogRecordsAndSnapshotsRoundTrip) {
  LogRecord record;
  record.hard_state = HardState{1, 2, ReplicaId{ProcessId("a"), 3}};
  record.reset_to = 4;
  record.truncate_from = 5;
  record.entries.push_back({5, 2, EntryKind::kCommand, "command", {}});
  const std::string bytes = EncodeLogRecord(record);
  BOOST_TEST(EncodeLogRecord(DecodeLogRecord(bytes).value()) == bytes);
  const std::string snapshot =
      EncodeSnapshot({1, 2, MakeMembership(), "state"});
  BOOST_TEST(EncodeSnapshot(DecodeSnapshot(snapshot).value()) == snapshot);
}

}  // namespace
}  // namespace coltsfootfork
