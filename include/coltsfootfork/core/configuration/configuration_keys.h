#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace coltsfootfork {

// The type of value that a key of the operators' document accepts.
enum class ValueKind : std::uint8_t {
  kObject = 0,
  kList,
  // 1 to 64 letters, digits, dots, dashes and underscores.
  kName,
  kText,
  // 64 lower-case hexadecimal digits.
  kSha256,
  kChoice,
  kInteger,
  kNumber,
};

// One key of the operators' document. The table has every key that the parser
// accepts, and a test checks the operators' page against the table.
struct ConfigurationKey {
  // A JSON pointer in which "*" matches each element of a list.
  std::string_view path;
  ValueKind kind = ValueKind::kObject;
  bool required = false;
  // Bounds of a number, of a text's length in bytes, or of a list's size.
  double minimum = 0;
  double maximum = 0;
  // As written in the document; empty if there is none.
  std::string_view default_value;
  // The accepted values of a choice, separated by "|".
  std::string_view choices;
};

// Returns all keys, each after its parent object.
const std::vector<ConfigurationKey>& ConfigurationKeys();

}  // namespace coltsfootfork
