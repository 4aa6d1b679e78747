#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/ids.h"

// The frame format between the processes of the system, encoded as CBOR.
namespace coltsfootfork {

// The first frame that each side of a link sends.
struct LinkHello {
  ProcessId process;
  // Random text that the peer must include in its proof.
  std::string nonce;
};

// The second frame that each side sends: proves knowledge of the fleet key
// without sending the key.
struct LinkProof {
  // HMAC-SHA-256 as hexadecimal digits.
  std::string mac;
};

// An encoded ControlRequest. The reply carries the same call number.
struct ControlRequestFrame {
  std::uint64_t call = 0;
  std::string request;
};

// An encoded ControlReply to the request with the same call number.
struct ControlReplyFrame {
  std::uint64_t call = 0;
  // True if the sender is the control leader and holds its lease. Otherwise the
  // reply is empty, except when a peer returns its state.
  bool acting = false;
  // The current leader as known to the sender; empty if unknown.
  ProcessId leader;
  std::string reply;
};

// An encoded message of the replicated log.
struct ReplicaFrame {
  std::string message;
};

// An encoded EngineOrder or FencingTokenFloor from the control leader.
struct OrderFrame {
  std::string order;
};

using Payload = std::variant<LinkHello, LinkProof, EntryToAgent, AgentToEntry,
                             ControlRequestFrame, ControlReplyFrame,
                             ReplicaFrame, OrderFrame>;

struct Envelope {
  // The highest configuration revision known to the sender.
  Revision revision = 0;
  Payload payload;
};

inline constexpr std::uint32_t kEnvelopeVersion = 1;

enum class EnvelopeError : std::uint8_t {
  kNone = 0,
  kMalformed,
  kUnknownVersion,
  kUnknownKind,
};

struct DecodedEnvelope {
  EnvelopeError error = EnvelopeError::kNone;
  // Set when error is kNone.
  std::optional<Envelope> envelope;
};

std::string EncodeEnvelope(const Envelope& envelope);

// Decodes one frame. Never throws; failures are reported in the error field.
DecodedEnvelope DecodeEnvelope(std::string_view bytes);

}  // namespace coltsfootfork
