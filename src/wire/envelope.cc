#include "wire/envelope.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "wire/request_codec.h"

namespace coltsfootfork {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LinkHello, process, nonce)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LinkProof, mac)

namespace {

using nlohmann::json;

json ToBinary(const std::string& bytes) {
  return json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string BinaryToString(const json& j) {
  const json::binary_t& bytes = j.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

void to_json(json& j, const ControlRequestFrame& call) {
  j = json{{"call", call.call}, {"request", ToBinary(call.request)}};
}
void from_json(const json& j, ControlRequestFrame& call) {
  j.at("call").get_to(call.call);
  call.request = BinaryToString(j.at("request"));
}
void to_json(json& j, const ControlReplyFrame& answer) {
  j = json{{"call", answer.call},
           {"acting", answer.acting},
           {"leader", answer.leader},
           {"reply", ToBinary(answer.reply)}};
}
void from_json(const json& j, ControlReplyFrame& answer) {
  j.at("call").get_to(answer.call);
  j.at("acting").get_to(answer.acting);
  j.at("leader").get_to(answer.leader);
  answer.reply = BinaryToString(j.at("reply"));
}
void to_json(json& j, const ReplicaFrame& frame) {
  j = json{{"message", ToBinary(frame.message)}};
}
void from_json(const json& j, ReplicaFrame& frame) {
  frame.message = BinaryToString(j.at("message"));
}
void to_json(json& j, const OrderFrame& frame) {
  j = json{{"order", ToBinary(frame.order)}};
}
void from_json(const json& j, OrderFrame& frame) {
  frame.order = BinaryToString(j.at("order"));
}

namespace {

// The alternatives of Payload that are not variants themselves.
using LinkPayload = std::variant<LinkHello, LinkProof, ControlRequestFrame,
                                 ControlReplyFrame, ReplicaFrame, OrderFrame>;

}  // namespace

template <>
struct VariantNames<LinkPayload> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "hello",          "proof",         "control_call",
      "control_answer", "replica_frame", "order_frame"};
};

namespace {

json PayloadToJson(const Payload& payload) {
  return std::visit(
      [](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, EntryToAgent> ||
                      std::is_same_v<Message, AgentToEntry>) {
          return VariantToJson(message);
        } else {
          return VariantToJson(LinkPayload(message));
        }
      },
      payload);
}

std::optional<Payload> PayloadFromJson(const json& j) {
  if (auto message = VariantFromJson<AgentToEntry>(j)) return *message;
  if (auto message = VariantFromJson<EntryToAgent>(j)) return *message;
  std::optional<LinkPayload> link = VariantFromJson<LinkPayload>(j);
  if (!link) return std::nullopt;
  return std::visit([](auto& message) { return Payload(std::move(message)); },
                    *link);
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) {
  json j = PayloadToJson(envelope.payload);
  j["v"] = kEnvelopeVersion;
  j["revision"] = envelope.revision;
  std::string bytes;
  json::to_cbor(j, bytes);
  return bytes;
}

DecodedEnvelope DecodeEnvelope(std::string_view bytes) {
  try {
    // Exceptions must be caught in any case: from_cbor throws on an invalid
    // object size even if its exceptions are disabled.
    const json j = json::from_cbor(bytes);
    if (j.at("v").get<std::uint32_t>() != kEnvelopeVersion) {
      return {EnvelopeError::kUnknownVersion, std::nullopt};
    }
    std::optional<Payload> payload = PayloadFromJson(j);
    if (!payload) return {EnvelopeError::kUnknownKind, std::nullopt};
    Envelope envelope;
    envelope.revision = j.at("revision").get<Revision>();
    envelope.payload = std::move(*payload);
    return {EnvelopeError::kNone, std::move(envelope)};
  } catch (const json::exception&) {
    return {EnvelopeError::kMalformed, std::nullopt};
  }
}

}  // namespace coltsfootfork
