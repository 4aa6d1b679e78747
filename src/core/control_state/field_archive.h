#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

// Serializes messages to JSON values and back. Each message type needs a
// function Fields(archive, message) that names its fields, and each enumeration
// a function LastValue(E) that returns its last enumerator.
namespace coltsfootfork {

// Marks a string of arbitrary bytes, which is written as binary.
struct BytesRef {
  std::string& value;
};

class FieldWriter;
class FieldReader;

template <typename T>
nlohmann::json WriteField(T& message);
template <typename T>
bool ReadField(const nlohmann::json& json, T& message);

inline nlohmann::json WriteField(std::string& text) { return text; }
inline nlohmann::json WriteField(bool& value) { return value; }
inline nlohmann::json WriteField(double& value) { return value; }
inline nlohmann::json WriteField(std::chrono::milliseconds& value) {
  return value.count();
}
inline nlohmann::json WriteField(BytesRef& bytes) {
  return nlohmann::json::binary({bytes.value.begin(), bytes.value.end()});
}
template <typename Tag>
nlohmann::json WriteField(Id<Tag>& id) {
  return id.value();
}
template <typename T>
nlohmann::json WriteField(std::optional<T>& value) {
  return value ? WriteField(*value) : nlohmann::json();
}
template <typename T>
nlohmann::json WriteField(std::vector<T>& list) {
  auto json = nlohmann::json::array();
  for (T& element : list) json.push_back(WriteField(element));
  return json;
}

inline bool ReadField(const nlohmann::json& json, std::string& text) {
  if (!json.is_string()) return false;
  text = json.get<std::string>();
  return true;
}
inline bool ReadField(const nlohmann::json& json, bool& value) {
  if (!json.is_boolean()) return false;
  value = json.get<bool>();
  return true;
}
inline bool ReadField(const nlohmann::json& json,
                      std::chrono::milliseconds& value) {
  if (!json.is_number_integer()) return false;
  value = std::chrono::milliseconds(json.get<std::int64_t>());
  return true;
}
inline bool ReadField(const nlohmann::json& json, BytesRef& bytes) {
  if (!json.is_binary()) return false;
  const auto& binary = json.get_binary();
  bytes.value.assign(binary.begin(), binary.end());
  return true;
}
template <typename Tag>
bool ReadField(const nlohmann::json& json, Id<Tag>& id) {
  if (!json.is_string()) return false;
  id = Id<Tag>(json.get<std::string>());
  return true;
}
template <typename T>
bool ReadField(const nlohmann::json& json, std::optional<T>& value) {
  value.reset();
  return json.is_null() || ReadField(json, value.emplace());
}
template <typename T>
bool ReadField(const nlohmann::json& json, std::vector<T>& list) {
  if (!json.is_array()) return false;
  list.clear();
  for (const auto& element : json) {
    if (!ReadField(element, list.emplace_back())) return false;
  }
  return true;
}

// Writes each field of a message to an object.
class FieldWriter {
 public:
  explicit FieldWriter(nlohmann::json& object) : object_(object) {}

  template <typename T>
  void operator()(const char* name, T&& value) {
    object_[name] = WriteField(value);
  }
  // Leaves out a field that has its default, to save bytes in messages that are
  // sent often.
  template <typename T>
  void OmitDefault(const char* name, std::optional<T>& value) {
    if (value) operator()(name, value);
  }
  template <typename T>
  void OmitDefault(const char* name, std::vector<T>& list) {
    if (!list.empty()) operator()(name, list);
  }
  void OmitDefault(const char* name, std::uint64_t& value) {
    if (value != 0) operator()(name, value);
  }
  void OmitDefault(const char* name, bool& value) {
    if (value) operator()(name, value);
  }

 private:
  nlohmann::json& object_;
};

// Reads each field of a message from an object. Unknown members are ignored,
// and an absent one leaves its field unchanged.
class FieldReader {
 public:
  explicit FieldReader(const nlohmann::json& object) : object_(object) {}

  template <typename T>
  void operator()(const char* name, T&& value) {
    const auto found = object_.find(name);
    if (found != object_.end() && !ReadField(*found, value)) ok_ = false;
  }
  template <typename T>
  void OmitDefault(const char* name, T& value) {
    operator()(name, value);
  }
  bool ok() const { return ok_; }

 private:
  const nlohmann::json& object_;
  bool ok_ = true;
};

template <typename T>
nlohmann::json WriteField(T& message) {
  if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint64_t>(message);
  } else if constexpr (std::is_integral_v<T>) {
    return message;
  } else {
    auto json = nlohmann::json::object();
    FieldWriter writer(json);
    Fields(writer, message);
    return json;
  }
}

template <typename T>
bool ReadField(const nlohmann::json& json, T& message) {
  if constexpr (std::is_enum_v<T>) {
    if (!json.is_number_unsigned()) return false;
    const auto value = json.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(LastValue(message))) return false;
    message = static_cast<T>(value);
    return true;
  } else if constexpr (std::is_integral_v<T>) {
    if (!json.is_number_unsigned()) return false;
    const auto value = json.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
      return false;
    }
    message = static_cast<T>(value);
    return true;
  } else {
    if (!json.is_object()) return false;
    FieldReader reader(json);
    Fields(reader, message);
    return reader.ok();
  }
}

}  // namespace coltsfootfork
