#include "adapters/json_fields.h"

namespace coltsfootfork {

using nlohmann::json;

JsonFields::JsonFields(std::string_view text, Findings* findings)
    : object_(json::parse(text, nullptr, false)), findings_(findings) {
  if (object_.is_object()) return;
  findings_->Add("", "is not a JSON object");
  object_ = json::object();
}

void JsonFields::Report(const char* key, const char* problem) {
  findings_->Add(std::string("/") + key, problem);
}

const json* JsonFields::Find(const char* key) {
  const auto found = object_.find(key);
  if (found != object_.end()) return &*found;
  Report(key, "is missing");
  return nullptr;
}

std::uint64_t JsonFields::Unsigned(const char* key, std::uint64_t max) {
  const json* value = Find(key);
  if (value == nullptr) return 0;
  if (value->is_number_unsigned() && value->get<std::uint64_t>() <= max) {
    return value->get<std::uint64_t>();
  }
  Report(key, "is not a whole number within its bounds");
  return 0;
}

std::string JsonFields::String(const char* key, std::size_t max_bytes) {
  const json* value = Find(key);
  if (value == nullptr) return {};
  if (value->is_string() &&
      value->get_ref<const std::string&>().size() <= max_bytes) {
    return value->get<std::string>();
  }
  Report(key, "is not a text within its bounds");
  return {};
}

bool JsonFields::Flag(const char* key) {
  const json* value = Find(key);
  if (value == nullptr) return false;
  if (value->is_boolean()) return value->get<bool>();
  Report(key, "is not true or false");
  return false;
}

bool JsonFields::OptionalFlag(const char* key) { return Has(key) && Flag(key); }

const json* JsonFields::FindArray(const char* key, std::size_t max_count) {
  const json* value = Find(key);
  if (value == nullptr) return nullptr;
  if (value->is_array() && value->size() <= max_count) return value;
  Report(key, "is not an array within its bounds");
  return nullptr;
}

std::vector<std::string> JsonFields::Strings(const char* key,
                                             std::size_t max_count,
                                             std::size_t max_bytes) {
  std::vector<std::string> strings;
  const json* array = FindArray(key, max_count);
  if (array == nullptr) return strings;
  for (const json& value : *array) {
    if (!value.is_string() ||
        value.get_ref<const std::string&>().size() > max_bytes) {
      Report(key, "holds something other than texts within their bounds");
      return {};
    }
    strings.push_back(value.get<std::string>());
  }
  return strings;
}

std::vector<std::uint64_t> JsonFields::Numbers(const char* key,
                                               std::size_t max_count) {
  std::vector<std::uint64_t> numbers;
  const json* array = FindArray(key, max_count);
  if (array == nullptr) return numbers;
  for (const json& value : *array) {
    if (!value.is_number_unsigned()) {
      Report(key, "holds something other than unsigned numbers");
      return {};
    }
    numbers.push_back(value.get<std::uint64_t>());
  }
  return numbers;
}

}  // namespace coltsfootfork
