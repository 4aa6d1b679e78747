#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace coltsfootfork {

// What kind of value a key of the operators' document takes.
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

// One key of the operators' document. Every key that the parser takes stands
// in the table, and the operators' page is checked against it.
struct ConfigurationKey {
  // A JSON pointer in which "*" stands for each element of a list.
  std::string_view path;
  ValueKind kind = ValueKind::kObject;
  bool required = false;
  // Bounds of a number, of the length of a text, or of a list's elements.
  double minimum = 0;
  double maximum = 0;
  // As it would be written; empty where there is none.
  std::string_view default_value;
  // The words that a choice may take, separated by "|".
  std::string_view choices;
};

// All keys, each after the object that holds it.
const std::vector<ConfigurationKey>& ConfigurationKeys();

}  // namespace coltsfootfork
