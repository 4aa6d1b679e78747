#include "coltsfootfork/core/fleet/fleet_message.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/control_state/cbor.h"
#include "core/fleet/fleet_fields.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// In the order of the alternatives of FleetMessage.
constexpr std::array<const char*, std::variant_size_v<FleetMessage>>
    kTypeNames = {"hello",
                  "control_digest",
                  "replica",
                  "directory_news",
                  "directory_ack",
                  "directory_ask",
                  "plan_ask",
                  "plan_document",
                  "relay_request",
                  "relay_reply",
                  "entry_report",
                  "entry_update",
                  "fleet_use",
                  "peer_list",
                  "evacuation_order",
                  "evacuation_reply",
                  "fleet_snapshot"};

template <std::size_t kIndex>
std::optional<FleetMessage> ReadAlternative(const Json& json) {
  std::variant_alternative_t<kIndex, FleetMessage> alternative;
  if (!ReadField(json, alternative)) return std::nullopt;
  return FleetMessage(std::in_place_index<kIndex>, std::move(alternative));
}

template <std::size_t... kIndex>
std::optional<FleetMessage> ReadMessage(
    const Json& json, std::index_sequence<kIndex...> /*all*/) {
  const auto type = json.find("type");
  if (type == json.end()) return std::nullopt;
  std::optional<FleetMessage> message;
  ((*type == kTypeNames.at(kIndex)
        ? void(message = ReadAlternative<kIndex>(json))
        : void()),
   ...);
  return message;
}

}  // namespace

std::string_view FleetMessageName(std::size_t kind) {
  return kTypeNames.at(kind);
}

std::string EncodeFleetMessage(const FleetMessage& message) {
  FleetMessage copy = message;
  Json json = std::visit(
      [](auto& alternative) { return WriteField(alternative); }, copy);
  json["type"] = kTypeNames.at(copy.index());
  std::string bytes;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

std::optional<FleetMessage> DecodeFleetMessage(std::string_view bytes) {
  const auto json = ReadCbor(bytes);
  if (!json || !json->is_object()) return std::nullopt;
  return ReadMessage(
      *json, std::make_index_sequence<std::variant_size_v<FleetMessage>>());
}

}  // namespace coltsfootfork
