#pragma once

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "coltsfootfork/core/messages/request_messages.h"
#include "wire/json_types.h"
#include "wire/variant_codec.h"

// JSON encoding of the messages between entries and agents. Unknown fields are
// skipped and missing fields get their defaults, so that processes of different
// versions can work together.
namespace coltsfootfork {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    Dispatch, request, generation, workspace, service, rank, kind, method,
    target, content_type, body, prompt_tokens, max_output_tokens, prefix_blocks,
    first_index, non_idempotent, start_within)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CancelRequest, request,
                                                generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TokenFrame, request, generation,
                                                index, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestCompleted, request,
                                                generation, token_count,
                                                finish_reason, status,
                                                content_type, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestRefused, request,
                                                generation, reason, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RequestInterrupted, request,
                                                generation, reason, resumable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    ServerReport, server, incarnation, zone, services, serving, draining,
    queued_requests, queued_tokens, running_requests, memory_used_tokens,
    memory_tokens, urgent_delay, deferrable_delay, prefill_per_token)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CacheHint, server, sequence,
                                                added_blocks, removed_blocks)

// Reasons and ranks are encoded by name, so that their numeric values may
// change.
void to_json(nlohmann::json& j, Reason reason);
void from_json(const nlohmann::json& j, Reason& reason);
void to_json(nlohmann::json& j, Rank rank);
void from_json(const nlohmann::json& j, Rank& rank);

template <>
struct VariantNames<EntryToAgent> {
  static constexpr std::array<std::string_view, 2> kNames = {"dispatch",
                                                             "cancel"};
};

template <>
struct VariantNames<AgentToEntry> {
  static constexpr std::array<std::string_view, 6> kNames = {
      "token",       "completed",     "refused",
      "interrupted", "server_report", "cache_hint"};
};

}  // namespace coltsfootfork
