#include "coltsfootfork/core/replication/log_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/replication/cbor_reader.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

Json HardStateToJson(const HardState& hard) {
  Json json = {{"g", hard.group}, {"t", hard.term}};
  if (hard.vote) {
    json["p"] = hard.vote->process.value();
    json["i"] = hard.vote->incarnation;
  }
  return json;
}

HardState ReadHardState(CborReader& outer, const Json& json) {
  CborReader reader(json, "/h");
  HardState hard;
  hard.group = reader.Number("g");
  hard.term = reader.Number("t");
  if (reader.Has("p")) {
    hard.vote = ReplicaId{ProcessId(reader.Text("p")), reader.Number("i")};
  }
  if (reader.failed()) {
    outer.Fail(reader.error().place, reader.error().problem);
  }
  return hard;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

}  // namespace

std::string EncodeLogRecord(const LogRecord& record) {
  Json json = Json::object();
  if (record.hard_state) json["h"] = HardStateToJson(*record.hard_state);
  if (record.reset_to) json["r"] = *record.reset_to;
  if (record.truncate_from) json["x"] = *record.truncate_from;
  if (!record.entries.empty()) json["e"] = EntriesToJson(record.entries);
  return ToCbor(json);
}

boost::leaf::result<LogRecord> DecodeLogRecord(std::string_view bytes) {
  BOOST_LEAF_AUTO(json, ParseCborMap(bytes));
  CborReader reader(json);
  LogRecord record;
  if (reader.Has("h")) record.hard_state = ReadHardState(reader, json.at("h"));
  if (reader.Has("r")) record.reset_to = reader.Number("r");
  if (reader.Has("x")) record.truncate_from = reader.Number("x");
  record.entries = ReadEntries(reader, "e");
  if (reader.failed()) return boost::leaf::new_error(reader.error());
  return record;
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  return ToCbor({{"i", snapshot.index},
                 {"t", snapshot.term},
                 {"m", MembershipToJson(snapshot.membership)},
                 {"d", ToBinary(snapshot.bytes)}});
}

boost::leaf::result<Snapshot> DecodeSnapshot(std::string_view bytes) {
  BOOST_LEAF_AUTO(json, ParseCborMap(bytes));
  CborReader reader(json);
  Snapshot snapshot;
  snapshot.index = reader.Number("i");
  snapshot.term = reader.Number("t");
  snapshot.membership = ReadMembership(reader, "m");
  snapshot.bytes = reader.Bytes("d");
  if (reader.failed()) return boost::leaf::new_error(reader.error());
  return snapshot;
}

}  // namespace coltsfootfork
