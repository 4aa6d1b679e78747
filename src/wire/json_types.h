#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "coltsfootfork/core/types/ids.h"

// JSON encoding of basic types: ids as strings, durations as integers in the
// unit of the duration type.
namespace nlohmann {

template <typename Tag>
struct adl_serializer<coltsfootfork::Id<Tag>> {
  static void to_json(json& j, const coltsfootfork::Id<Tag>& id) {
    j = id.value();
  }
  static void from_json(const json& j, coltsfootfork::Id<Tag>& id) {
    id = coltsfootfork::Id<Tag>(j.get<std::string>());
  }
};

template <typename Rep, typename Period>
struct adl_serializer<std::chrono::duration<Rep, Period>> {
  static void to_json(json& j,
                      const std::chrono::duration<Rep, Period>& duration) {
    j = duration.count();
  }
  static void from_json(const json& j,
                        std::chrono::duration<Rep, Period>& duration) {
    duration = std::chrono::duration<Rep, Period>(j.get<Rep>());
  }
};

}  // namespace nlohmann
