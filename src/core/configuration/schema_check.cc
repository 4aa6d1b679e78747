#include "schema_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coltsfootfork/core/configuration/configuration_keys.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256Digits = 64;

std::string NumberText(double number) { return Json(number).dump(); }

// Formats a bound as it appears in findings, without a fraction if integral.
std::string BoundText(double bound) {
  if (bound == std::floor(bound)) {
    return std::to_string(static_cast<std::int64_t>(bound));
  }
  return NumberText(bound);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool IsSha256(const std::string& text) {
  return text.size() == kSha256Digits &&
         std::all_of(text.begin(), text.end(), IsLowerHex);
}

bool IsChoice(std::string_view choices, std::string_view word) {
  while (true) {
    const std::size_t bar = choices.find('|');
    if (choices.substr(0, bar) == word) return true;
    if (bar == std::string_view::npos) return false;
    choices.remove_prefix(bar + 1);
  }
}

// One key and the keys of its members.
struct KeyNode {
  const ConfigurationKey* key = nullptr;
  std::map<std::string, KeyNode, std::less<>> members;
};

KeyNode BuildKeyTree(const std::vector<ConfigurationKey>& keys) {
  KeyNode root;
  for (const ConfigurationKey& key : keys) {
    KeyNode* node = &root;
    std::string_view rest = key.path;
    while (!rest.empty()) {
      rest.remove_prefix(1);
      const std::size_t end = std::min(rest.find('/'), rest.size());
      node = &node->members[std::string(rest.substr(0, end))];
      rest.remove_prefix(end);
    }
    node->key = &key;
  }
  return root;
}

bool IsOutOfRange(double number, const ConfigurationKey& key) {
  return number < key.minimum || number > key.maximum;
}

class SchemaCheck {
 public:
  explicit SchemaCheck(BoundedFindings& findings) : findings_(findings) {}

  void Check(const Json& value, const KeyNode& node, const std::string& place) {
    switch (node.key->kind) {
      case ValueKind::kObject:
        return CheckObject(value, node, place);
      case ValueKind::kList:
        return CheckList(value, node, place);
      case ValueKind::kInteger:
      case ValueKind::kNumber:
        return CheckNumber(value, *node.key, place);
      default:
        return CheckText(value, *node.key, place);
    }
  }

 private:
  void CheckObject(const Json& value, const KeyNode& node,
                   const std::string& place) {
    if (!value.is_object()) return findings_.Add(place, "must be an object");
    for (const auto& [name, member] : value.items()) {
      const auto found = node.members.find(name);
      if (found == node.members.end()) {
        findings_.Add(ChildPointer(place, name), "unknown key");
      } else {
        Check(member, found->second, ChildPointer(place, name));
      }
    }
    for (const auto& [name, member] : node.members) {
      if (member.key->required && !value.contains(name)) {
        findings_.Add(ChildPointer(place, name), "missing");
      }
    }
  }

  void CheckList(const Json& value, const KeyNode& node,
                 const std::string& place) {
    if (!value.is_array()) return findings_.Add(place, "must be a list");
    const auto size = static_cast<double>(value.size());
    if (IsOutOfRange(size, *node.key)) {
      findings_.Add(place, "must have " + RangeText(*node.key) + " elements");
    }
    const KeyNode& element = node.members.find("*")->second;
    for (std::size_t i = 0; i < value.size(); ++i) {
      Check(value[i], element, ChildPointer(place, i));
    }
  }

  void CheckNumber(const Json& value, const ConfigurationKey& key,
                   const std::string& place) {
    if (key.kind == ValueKind::kInteger && !value.is_number_integer()) {
      return findings_.Add(place, "must be a whole number");
    }
    if (!value.is_number()) return findings_.Add(place, "must be a number");
    const auto number = value.get<double>();
    if (IsOutOfRange(number, key)) {
      findings_.Add(place, "must be " + RangeText(key));
    }
  }

  void CheckText(const Json& value, const ConfigurationKey& key,
                 const std::string& place) {
    if (!value.is_string()) return findings_.Add(place, "must be a text");
    const auto& text = value.get_ref<const std::string&>();
    if (key.kind == ValueKind::kName && !IsName(text)) {
      findings_.Add(place,
                    "must be 1 to 64 letters, digits, '.', '-' or '_', not \"" +
                        Excerpt(text) + "\"");
    } else if (key.kind == ValueKind::kSha256 && !IsSha256(text)) {
      findings_.Add(place, "must be 64 lower-case hexadecimal digits");
    } else if (key.kind == ValueKind::kChoice && !IsChoice(key.choices, text)) {
      findings_.Add(place, "must be one of " + std::string(key.choices) +
                               ", not \"" + Excerpt(text) + "\"");
    } else if (key.kind == ValueKind::kText &&
               IsOutOfRange(static_cast<double>(text.size()), key)) {
      findings_.Add(place, "must have " + RangeText(key) + " bytes");
    }
  }

  static std::string RangeText(const ConfigurationKey& key) {
    return BoundText(key.minimum) + " to " + BoundText(key.maximum);
  }

  BoundedFindings& findings_;
};

}  // namespace

void CheckSchema(const Json& document,
                 const std::vector<ConfigurationKey>& keys,
                 BoundedFindings& findings) {
  const KeyNode root = BuildKeyTree(keys);
  SchemaCheck(findings).Check(document, root, "");
}

}  // namespace coltsfootfork
