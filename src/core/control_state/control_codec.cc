#include "coltsfootfork/core/control_state/control_codec.h"

#include <array>
#include <cstddef>
#include <utility>
#include <variant>

#include "cbor.h"
#include "control_fields.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

// Indexed by the alternatives of ControlRequest and ControlReply.
constexpr std::array<const char*, std::variant_size_v<ControlRequest>> kTypes =
    {"claim_begin", "claim_settle", "put_configuration",
     "renew_lease", "fetch_state",  "read_status"};

template <typename Message>
Json WriteMessage(Message message) {
  Json json = std::visit([](auto& m) { return WriteField(m); }, message);
  json["type"] = kTypes.at(message.index());
  return json;
}

template <typename Message, std::size_t kIndex>
std::optional<Message> ReadAlternative(const Json& json) {
  std::variant_alternative_t<kIndex, Message> alternative;
  if (!ReadField(json, alternative)) return std::nullopt;
  return Message(std::in_place_index<kIndex>, std::move(alternative));
}

template <typename Message, std::size_t... kIndex>
std::optional<Message> ReadMessage(const Json& json,
                                   std::index_sequence<kIndex...> /*all*/) {
  if (!json.is_object()) return std::nullopt;
  const auto type = json.find("type");
  if (type == json.end()) return std::nullopt;
  std::optional<Message> message;
  ((*type == kTypes.at(kIndex)
        ? void(message = ReadAlternative<Message, kIndex>(json))
        : void()),
   ...);
  return message;
}

template <typename Message>
std::optional<Message> ReadMessage(const Json& json) {
  return ReadMessage<Message>(
      json, std::make_index_sequence<std::variant_size_v<Message>>());
}

template <typename Message>
std::optional<Message> DecodeMessage(std::string_view bytes) {
  const auto json = ReadCbor(bytes);
  if (!json.has_value()) return std::nullopt;
  return ReadMessage<Message>(*json);
}

}  // namespace

std::string EncodeControlCommand(const ControlCommand& command) {
  Json json = Json::object();
  json["at_ms"] = command.at.count();
  json["request"] = WriteMessage(command.request);
  return WriteCbor(json);
}

std::optional<ControlCommand> DecodeControlCommand(std::string_view bytes) {
  const auto json = ReadCbor(bytes);
  if (!json.has_value() || !json->is_object()) return std::nullopt;
  const auto at = json->find("at_ms");
  const auto body = json->find("request");
  if (at == json->end() || body == json->end()) return std::nullopt;
  ControlCommand command;
  auto request = ReadMessage<ControlRequest>(*body);
  if (!ReadField(*at, command.at) || !request.has_value()) {
    return std::nullopt;
  }
  command.request = std::move(*request);
  return command;
}

std::string EncodeControlRequest(const ControlRequest& request) {
  return WriteCbor(WriteMessage(request));
}

std::optional<ControlRequest> DecodeControlRequest(std::string_view bytes) {
  return DecodeMessage<ControlRequest>(bytes);
}

std::string EncodeControlReply(const ControlReply& reply) {
  return WriteCbor(WriteMessage(reply));
}

std::optional<ControlReply> DecodeControlReply(std::string_view bytes) {
  return DecodeMessage<ControlReply>(bytes);
}

}  // namespace coltsfootfork
