#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/finding.h"

// Decoders for the bodies that a backend server sends. On errors, a decoder
// adds them to the findings and returns nothing.
namespace coltsfootfork {

struct AnnouncedServer {
  EngineAnnouncement message;
  // Listening address of the server: "IP:PORT".
  std::string address;
};

std::optional<AnnouncedServer> DecodeAnnounce(std::string_view body,
                                              Findings* findings);
std::optional<EngineLoad> DecodeLoad(std::string_view body, Findings* findings);
std::optional<CacheHint> DecodeCacheEvents(std::string_view body,
                                           Findings* findings);

// One event of a token stream. Events do not contain the request and the
// generation, which the caller of the decoder knows.
struct StreamToken {
  std::uint32_t index = 0;
  std::string text;
};
struct StreamPreempted {};
struct StreamFinished {
  std::string finish_reason;
  std::uint32_t token_count = 0;
};
using StreamEvent = std::variant<StreamToken, StreamPreempted, StreamFinished>;

std::optional<StreamEvent> DecodeStreamEvent(std::string_view data,
                                             Findings* findings);

// Returns true if the body of a response with status 503 states that no part of
// the request was run.
bool ReportsNotRun(std::string_view body);

// Decodes the response to an order. A malformed body is returned as a result
// that is not applied.
EngineOrderResult DecodeOrderResult(FencingToken fence, std::string_view body);

}  // namespace coltsfootfork
