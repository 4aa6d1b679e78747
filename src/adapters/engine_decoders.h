#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/finding.h"

// The bodies that a backend server sends, turned into typed messages. Each
// decoder adds what is wrong to the findings and then returns nothing.
namespace coltsfootfork {

struct AnnouncedServer {
  EngineAnnouncement message;
  // Where the server listens: "IP:PORT".
  std::string address;
};

std::optional<AnnouncedServer> DecodeAnnounce(std::string_view body,
                                              Findings* findings);
std::optional<EngineLoad> DecodeLoad(std::string_view body, Findings* findings);
std::optional<CacheHint> DecodeCacheEvents(std::string_view body,
                                           Findings* findings);

// One event of a token stream. Request and generation are the reader's.
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

// Whether an answer with status 503 says that nothing of the request ran.
bool ReportsNotRun(std::string_view body);

// What the answer to an order says.
EngineOrderResult DecodeOrderResult(FencingToken fence, std::string_view body);

}  // namespace coltsfootfork
