#include "coltsfootfork/core/replication/replica_codec.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/replication/cbor_reader.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

Json BodyToJson(const VoteRequest& body) {
  return {{"t", body.term},
          {"i", body.last_index},
          {"l", body.last_term},
          {"p", body.pre_vote ? 1 : 0}};
}

Json BodyToJson(const VoteReply& body) {
  return {{"t", body.term},
          {"p", body.pre_vote ? 1 : 0},
          {"y", body.granted ? 1 : 0}};
}

Json BodyToJson(const AppendRequest& body) {
  Json json = {{"t", body.term},
               {"i", body.prev_index},
               {"l", body.prev_term},
               {"c", body.commit},
               {"s", body.sent_ms}};
  if (!body.entries.empty()) json["e"] = EntriesToJson(body.entries);
  return json;
}

Json BodyToJson(const AppendReply& body) {
  Json json = {{"t", body.term},
               {"y", body.accepted ? 1 : 0},
               {"i", body.index},
               {"s", body.sent_ms}};
  if (!body.accepted) json["h"] = body.hint;
  return json;
}

Json BodyToJson(const SnapshotChunk& body) {
  return {{"t", body.term},          {"i", body.index},
          {"l", body.snapshot_term}, {"m", MembershipToJson(body.membership)},
          {"a", body.offset},        {"b", body.total_bytes},
          {"s", body.sent_ms},       {"d", ToBinary(body.data)}};
}

Json BodyToJson(const SnapshotReply& body) {
  return {{"t", body.term},
          {"i", body.index},
          {"a", body.next_offset},
          {"y", body.complete ? 1 : 0},
          {"s", body.sent_ms}};
}

Json BodyToJson(const Probe& body) { return {{"z", body.zone.value()}}; }

Json BodyToJson(const ProbeReply& body) {
  Json members = Json::array();
  for (const ProcessId& member : body.members) {
    members.push_back({{"p", member.value()}});
  }
  return {{"z", body.zone.value()},
          {"l", body.leader.value()},
          {"m", std::move(members)}};
}

Json BodyToJson(const StaleTermReply& body) { return {{"t", body.term}}; }

void Read(CborReader& reader, VoteRequest& body) {
  body.term = reader.Number("t");
  body.last_index = reader.Number("i");
  body.last_term = reader.Number("l");
  body.pre_vote = reader.Number("p") != 0;
}

void Read(CborReader& reader, VoteReply& body) {
  body.term = reader.Number("t");
  body.pre_vote = reader.Number("p") != 0;
  body.granted = reader.Number("y") != 0;
}

void Read(CborReader& reader, AppendRequest& body) {
  body.term = reader.Number("t");
  body.prev_index = reader.Number("i");
  body.prev_term = reader.Number("l");
  body.commit = reader.Number("c");
  body.sent_ms = reader.Number("s");
  body.entries = ReadEntries(reader, "e");
}

void Read(CborReader& reader, AppendReply& body) {
  body.term = reader.Number("t");
  body.accepted = reader.Number("y") != 0;
  body.index = reader.Number("i");
  body.sent_ms = reader.Number("s");
  if (!body.accepted) body.hint = reader.Number("h");
}

void Read(CborReader& reader, SnapshotChunk& body) {
  body.term = reader.Number("t");
  body.index = reader.Number("i");
  body.snapshot_term = reader.Number("l");
  body.membership = ReadMembership(reader, "m");
  body.offset = reader.Number("a");
  body.total_bytes = reader.Number("b");
  body.sent_ms = reader.Number("s");
  body.data = reader.Bytes("d");
}

void Read(CborReader& reader, SnapshotReply& body) {
  body.term = reader.Number("t");
  body.index = reader.Number("i");
  body.next_offset = reader.Number("a");
  body.complete = reader.Number("y") != 0;
  body.sent_ms = reader.Number("s");
}

void Read(CborReader& reader, Probe& body) {
  body.zone = ZoneId(reader.Text("z"));
}

void Read(CborReader& reader, ProbeReply& body) {
  body.zone = ZoneId(reader.Text("z"));
  body.leader = ProcessId(reader.Text("l"));
  for (const Json& json : reader.List("m")) {
    CborReader member(json, reader.PlaceOf("m"));
    body.members.emplace_back(member.Text("p"));
    if (member.failed()) {
      reader.Fail(member.error().place, member.error().problem);
    }
  }
}

void Read(CborReader& reader, StaleTermReply& body) {
  body.term = reader.Number("t");
}

// Reads the body whose alternative in the variant has the index `kind`. Returns
// false for an unknown kind.
template <std::size_t kKind = 0>
bool ReadBody(std::uint64_t kind, CborReader& reader,
              ReplicaMessageBody& body) {
  if constexpr (kKind < std::variant_size_v<ReplicaMessageBody>) {
    if (kind != kKind) return ReadBody<kKind + 1>(kind, reader, body);
    Read(reader, body.emplace<kKind>());
    return true;
  } else {
    return false;
  }
}

}  // namespace

std::string EncodeReplicaMessage(const ReplicaMessage& message) {
  Json json = std::visit([](const auto& body) { return BodyToJson(body); },
                         message.body);
  json["k"] = message.body.index();
  json["f"] = message.from;
  json["o"] = message.to;
  json["g"] = message.group;
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

boost::leaf::result<ReplicaMessage> DecodeReplicaMessage(
    std::string_view bytes) {
  BOOST_LEAF_AUTO(json, ParseCborMap(bytes));
  CborReader reader(json);
  ReplicaMessage message;
  message.from = reader.Number("f");
  message.to = reader.Number("o");
  message.group = reader.Number("g");
  if (!ReadBody(reader.Number("k"), reader, message.body)) {
    reader.Fail("/k", "unknown message kind");
  }
  if (reader.failed()) return boost::leaf::new_error(reader.error());
  return message;
}

}  // namespace coltsfootfork
