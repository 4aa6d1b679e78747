#pragma once

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace coltsfootfork {

// The JSON names of the alternatives of a variant, in the order of the
// alternatives. Specialized for each variant that is encoded as JSON.
template <typename Variant>
struct VariantNames;

// Encodes a variant as {"kind": NAME, "body": {...}}.
template <typename Variant>
nlohmann::json VariantToJson(const Variant& value) {
  nlohmann::json j;
  j["kind"] = VariantNames<Variant>::kNames.at(value.index());
  std::visit([&j](const auto& message) { j["body"] = message; }, value);
  return j;
}

namespace internal {

template <typename Variant, std::size_t I = 0>
std::optional<Variant> VariantFromKindAndBody(std::string_view kind,
                                              const nlohmann::json& body) {
  if constexpr (I < std::variant_size_v<Variant>) {
    if (VariantNames<Variant>::kNames.at(I) == kind) {
      return Variant(std::in_place_index<I>,
                     body.get<std::variant_alternative_t<I, Variant>>());
    }
    return VariantFromKindAndBody<Variant, I + 1>(kind, body);
  } else {
    return std::nullopt;
  }
}

}  // namespace internal

// Decodes a variant. Returns nothing if the kind is unknown. Throws
// nlohmann::json::exception if a field is missing or has the wrong type.
template <typename Variant>
std::optional<Variant> VariantFromJson(const nlohmann::json& j) {
  const auto& kind = j.at("kind").get_ref<const std::string&>();
  return internal::VariantFromKindAndBody<Variant>(kind, j.at("body"));
}

}  // namespace coltsfootfork
