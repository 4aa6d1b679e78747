#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/ids.h"

// The one frame that the system's own processes exchange, as CBOR.
namespace coltsfootfork {

// The first frame of each side of a link.
struct LinkHello {
  ProcessId process;
  // Random text that the peer's proof must cover.
  std::string nonce;
};

// The second frame: shows knowledge of the fleet key without sending it.
struct LinkProof {
  // HMAC-SHA-256 in hexadecimal digits.
  std::string mac;
};

// A coded ControlRequest with the number that its reply repeats.
struct ControlRequestFrame {
  std::uint64_t call = 0;
  std::string request;
};

struct ControlReplyFrame {
  std::uint64_t call = 0;
  // The replica holds the lease; if not, the reply says nothing.
  bool acting = false;
  // The leader as far as the replica knows; may be empty.
  ProcessId leader;
  std::string reply;
};

// A coded message of the replicated log.
struct ReplicaFrame {
  std::string message;
};

// A coded EngineOrder or FencingTokenFloor from the control leader.
struct OrderFrame {
  std::string order;
};

using Payload = std::variant<LinkHello, LinkProof, EntryToAgent, AgentToEntry,
                             ControlRequestFrame, ControlReplyFrame,
                             ReplicaFrame, OrderFrame>;

struct Envelope {
  // The highest configuration revision that the sender knows of.
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

// Reads one frame. Never throws: what cannot be read is told in the error.
DecodedEnvelope DecodeEnvelope(std::string_view bytes);

}  // namespace coltsfootfork
