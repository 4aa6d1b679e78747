#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfootfork/core/replication/codec_error.h"
#include "coltsfootfork/core/replication/log_entry.h"

namespace coltsfootfork {

// Parses a CBOR map from an untrusted source, with bounded nesting.
boost::leaf::result<nlohmann::json> ParseCborMap(std::string_view bytes);

// Wraps bytes as a CBOR byte string.
nlohmann::json ToBinary(const std::string& bytes);

// Reads the fields of one map. Faulty fields read as empty values and the first
// fault is kept, so that callers check once, after the last field.
class CborReader {
 public:
  explicit CborReader(const nlohmann::json& map, std::string place = "");

  bool Has(const char* key) const;
  std::uint64_t Number(const char* key);
  std::string Text(const char* key);
  std::string Bytes(const char* key);
  // Reads an array; an absent key reads as an empty one without a fault.
  const nlohmann::json::array_t& List(const char* key);
  std::string PlaceOf(const char* key) const { return place_ + "/" + key; }

  void Fail(const std::string& place, const std::string& problem);
  bool failed() const { return failed_; }
  const CodecError& error() const { return error_; }

 private:
  const nlohmann::json* Find(const char* key);

  const nlohmann::json& map_;
  std::string place_;
  bool failed_ = false;
  CodecError error_;
};

// Parts that messages and log records have in common.
nlohmann::json EntriesToJson(const std::vector<LogEntry>& entries);
std::vector<LogEntry> ReadEntries(CborReader& reader, const char* key);
nlohmann::json MembershipToJson(const Membership& membership);
Membership ReadMembership(CborReader& reader, const char* key);

}  // namespace coltsfootfork
