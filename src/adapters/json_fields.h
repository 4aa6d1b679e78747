#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Reads the members of one JSON object from untrusted input. A member that is
// missing or has the wrong type is reported as a finding with its JSON pointer
// and is read as empty.
class JsonFields {
 public:
  JsonFields(std::string_view text, Findings* findings);

  std::uint64_t Unsigned(
      const char* key,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::string String(const char* key, std::size_t max_bytes);
  bool Flag(const char* key);
  // Returns false if the member is missing.
  bool OptionalFlag(const char* key);
  bool Has(const char* key) const { return object_.contains(key); }
  std::vector<std::string> Strings(const char* key, std::size_t max_count,
                                   std::size_t max_bytes);
  std::vector<std::uint64_t> Numbers(const char* key, std::size_t max_count);

 private:
  const nlohmann::json* Find(const char* key);
  const nlohmann::json* FindArray(const char* key, std::size_t max_count);
  void Report(const char* key, const char* problem);

  nlohmann::json object_;
  Findings* findings_;
};

}  // namespace coltsfootfork
