#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/reason.h"

// Messages between entries and agents about requests. The decision core, the
// wire codec and traces use the same types.
namespace coltsfootfork {

// Distinguishes token generation on an engine from a call of a plain service.
enum class RequestKind : std::uint8_t { kGeneration = 0, kPlainCall = 1 };

// Entry to agent: run this request on the agent's backend server.
struct Dispatch {
  RequestId request;
  Generation generation = 1;
  WorkspaceId workspace;
  ServiceId service;
  Rank rank = Rank::kDeferrable;
  RequestKind kind = RequestKind::kGeneration;
  // HTTP method and path of the request to the backend server.
  std::string method;
  std::string target;
  std::string content_type;
  // The caller's body, forwarded unchanged.
  std::string body;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  // Digests of the prompt's leading blocks, shortest prefix first.
  std::vector<std::uint64_t> prefix_blocks;
  // The first token index to send; above zero for a resumed stream.
  std::uint32_t first_index = 0;
  bool non_idempotent = false;
  // The agent refuses the request as not run if it cannot start within this
  // time.
  std::chrono::milliseconds start_within{0};
};

// Entry to agent: the caller disconnected or the generation is fenced off.
struct CancelRequest {
  RequestId request;
  Generation generation = 1;
};

// Agent to entry: one token of a stream.
struct TokenFrame {
  RequestId request;
  Generation generation = 1;
  std::uint32_t index = 0;
  std::string text;
};

// Agent to entry: the stream or call finished without being cancelled.
struct RequestCompleted {
  RequestId request;
  Generation generation = 1;
  // Tokens of the whole stream; zero for a plain call.
  std::uint32_t token_count = 0;
  // "stop" or "length" for a generation; empty for a plain call.
  std::string finish_reason;
  // Status, content type and body of a plain call's response.
  int status = 200;
  std::string content_type;
  std::string body;
};

// Agent to entry: the request did not run and will not run.
struct RequestRefused {
  RequestId request;
  Generation generation = 1;
  Reason reason = Reason::kNone;
  std::chrono::milliseconds retry_after{0};
};

// Agent to entry: the request was dispatched and its outcome is unknown.
struct RequestInterrupted {
  RequestId request;
  Generation generation = 1;
  Reason reason = Reason::kNone;
  // The backend server may be able to resume the stream on request.
  bool resumable = false;
};

// Agent to entry: the state of its backend server, sent on each change and
// periodically.
struct ServerReport {
  ServerId server;
  // Changes with each start of the backend server.
  std::uint64_t incarnation = 0;
  ZoneId zone;
  std::vector<ServiceId> services;
  bool serving = false;
  bool draining = false;
  std::uint32_t queued_requests = 0;
  std::uint64_t queued_tokens = 0;
  std::uint32_t running_requests = 0;
  // Tokens of key/value memory: predicted use, and total capacity.
  std::uint64_t memory_used_tokens = 0;
  std::uint64_t memory_tokens = 0;
  // Predicted queueing delay of urgent and of deferrable requests that arrive
  // now.
  std::chrono::microseconds urgent_delay{0};
  std::chrono::microseconds deferrable_delay{0};
  // Prefill time per prompt token.
  std::chrono::nanoseconds prefill_per_token{0};
};

// Agent to entry: a delayed, possibly incomplete hint of the contents of a
// server's prompt cache. A gap in the sequence invalidates earlier hints.
struct CacheHint {
  ServerId server;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added_blocks;
  std::vector<std::uint64_t> removed_blocks;
};

using EntryToAgent = std::variant<Dispatch, CancelRequest>;
using AgentToEntry = std::variant<TokenFrame, RequestCompleted, RequestRefused,
                                  RequestInterrupted, ServerReport, CacheHint>;

}  // namespace coltsfootfork
