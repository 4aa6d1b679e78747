#include "core/replication/cbor_reader.h"

#include <cstddef>
#include <utility>

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Input with deeper nesting is rejected, since it could exhaust the stack.
constexpr std::size_t kMaxDepth = 8;

// Tracks the nesting depth only, and stops the parser beyond kMaxDepth.
class DepthLimit : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Enter() { return ++depth_ <= kMaxDepth; }
  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
};

Json MemberToJson(const Member& member) {
  return {{"p", member.id.process.value()},
          {"i", member.id.incarnation},
          {"z", member.zone.value()},
          {"v", static_cast<unsigned>(member.role)}};
}

Json EntryToJson(const LogEntry& entry) {
  Json json = {{"i", entry.index}, {"t", entry.term}};
  switch (entry.kind) {
    case EntryKind::kNoOp:
      break;
    case EntryKind::kCommand:
      json["c"] = ToBinary(entry.command);
      break;
    case EntryKind::kMembership:
      json["m"] = MembershipToJson(entry.membership);
      break;
  }
  return json;
}

Member ReadMember(CborReader& reader) {
  Member member;
  member.id.process = ProcessId(reader.Text("p"));
  member.id.incarnation = reader.Number("i");
  member.zone = ZoneId(reader.Text("z"));
  const std::uint64_t role = reader.Number("v");
  if (role > static_cast<std::uint64_t>(MemberRole::kLeaving)) {
    reader.Fail(reader.PlaceOf("v"), "unknown role");
  }
  member.role = static_cast<MemberRole>(role);
  return member;
}

LogEntry ReadEntry(CborReader& reader) {
  LogEntry entry;
  entry.index = reader.Number("i");
  entry.term = reader.Number("t");
  if (reader.Has("c")) {
    entry.kind = EntryKind::kCommand;
    entry.command = reader.Bytes("c");
  } else if (reader.Has("m")) {
    entry.kind = EntryKind::kMembership;
    entry.membership = ReadMembership(reader, "m");
  }
  return entry;
}

// Reads each map of a list. A fault in one map fails the outer reader.
template <typename Element, typename Read>
std::vector<Element> ReadList(CborReader& reader, const char* key, Read read) {
  std::vector<Element> elements;
  std::size_t number = 0;
  for (const Json& json : reader.List(key)) {
    CborReader inner(json, reader.PlaceOf(key) + "/" + std::to_string(number));
    ++number;
    elements.push_back(read(inner));
    if (!inner.failed()) continue;
    reader.Fail(inner.error().place, inner.error().problem);
    return {};
  }
  return elements;
}

}  // namespace

boost::leaf::result<Json> ParseCborMap(std::string_view bytes) {
  DepthLimit limit;
  if (!Json::sax_parse(bytes, &limit, Json::input_format_t::cbor)) {
    return boost::leaf::new_error(
        CodecError{"", "invalid CBOR, or nested too deeply"});
  }
  Json json = Json::from_cbor(bytes, true, false);
  if (!json.is_object()) {
    return boost::leaf::new_error(CodecError{"", "not a CBOR map"});
  }
  return json;
}

Json ToBinary(const std::string& bytes) {
  return Json::binary(
      Json::binary_t::container_type(bytes.begin(), bytes.end()));
}

CborReader::CborReader(const Json& map, std::string place)
    : map_(map), place_(std::move(place)) {
  if (!map_.is_object()) Fail(place_, "not a map");
}

bool CborReader::Has(const char* key) const {
  return map_.is_object() && map_.contains(key);
}

std::uint64_t CborReader::Number(const char* key) {
  const Json* value = Find(key);
  if (value == nullptr) return 0;
  if (!value->is_number_unsigned()) {
    Fail(PlaceOf(key), "not an unsigned number");
    return 0;
  }
  return value->get<std::uint64_t>();
}

std::string CborReader::Text(const char* key) {
  const Json* value = Find(key);
  if (value == nullptr) return {};
  if (!value->is_string()) {
    Fail(PlaceOf(key), "not a text string");
    return {};
  }
  return value->get<std::string>();
}

std::string CborReader::Bytes(const char* key) {
  const Json* value = Find(key);
  if (value == nullptr) return {};
  if (!value->is_binary()) {
    Fail(PlaceOf(key), "not a byte string");
    return {};
  }
  const Json::binary_t& binary = value->get_binary();
  return {binary.begin(), binary.end()};
}

const Json::array_t& CborReader::List(const char* key) {
  static const Json::array_t empty_list;
  if (!Has(key)) return empty_list;
  const Json& value = map_.at(key);
  if (value.is_array()) return value.get_ref<const Json::array_t&>();
  Fail(PlaceOf(key), "not an array");
  return empty_list;
}

void CborReader::Fail(const std::string& place, const std::string& problem) {
  if (failed_) return;
  failed_ = true;
  error_ = {place, problem};
}

const Json* CborReader::Find(const char* key) {
  if (Has(key)) return &map_.at(key);
  Fail(PlaceOf(key), "missing");
  return nullptr;
}

Json EntriesToJson(const std::vector<LogEntry>& entries) {
  Json list = Json::array();
  for (const LogEntry& entry : entries) list.push_back(EntryToJson(entry));
  return list;
}

std::vector<LogEntry> ReadEntries(CborReader& reader, const char* key) {
  return ReadList<LogEntry>(reader, key, ReadEntry);
}

Json MembershipToJson(const Membership& membership) {
  Json list = Json::array();
  for (const Member& member : membership.members) {
    list.push_back(MemberToJson(member));
  }
  return list;
}

Membership ReadMembership(CborReader& reader, const char* key) {
  return {ReadList<Member>(reader, key, ReadMember)};
}

}  // namespace coltsfootfork
