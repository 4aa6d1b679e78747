#include "core/replay/trace_codec.h"

#include <string>

#include "core/replay/configuration_codec.h"
#include "wire/request_codec.h"
#include "wire/variant_codec.h"

namespace coltsfootfork {

using nlohmann::json;

// An unknown name is decoded as the first enumerator of the list.
NLOHMANN_JSON_SERIALIZE_ENUM(ClaimVerdict,
                             {{ClaimVerdict::kNoQuorum, "no_quorum"},
                              {ClaimVerdict::kGranted, "granted"},
                              {ClaimVerdict::kDone, "done"},
                              {ClaimVerdict::kInProgress, "in_progress"},
                              {ClaimVerdict::kOutcomeUnknown,
                               "outcome_unknown"},
                              {ClaimVerdict::kKeyReused, "key_reused"}})
NLOHMANN_JSON_SERIALIZE_ENUM(ClaimOutcome, {{ClaimOutcome::kUnknown, "unknown"},
                                            {ClaimOutcome::kDone, "done"},
                                            {ClaimOutcome::kNotRun, "not_run"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimKey, workspace, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StoredResponse, status,
                                                content_type, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimBegin, claim,
                                                request_digest, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimBeginReply, verdict,
                                                answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimSettle, claim, request,
                                                outcome, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DirectoryAgent, process,
                                                address, zone, server, services,
                                                draining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LimitShare, requests_per_second,
                                                tokens_per_second,
                                                concurrent_streams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkspaceLimitShare, workspace,
                                                share)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    CallerRequest, request, workspace, service, kind, method, target,
    content_type, body, stream, prompt_tokens, max_output_tokens, prefix_blocks,
    idempotency_key, request_digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerDisconnected, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallerBacklog, request, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AgentConnected, agent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AgentDisconnected, agent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DirectoryChanged, agents)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClaimReplied, request, reply)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LimitSharesGranted, shares)
void to_json(json& j, const StopRequested& /*stop*/) { j = json::object(); }
void from_json(const json& /*j*/, StopRequested& /*stop*/) {}

void to_json(json& j, const AgentMessage& message) {
  j = json{{"agent", message.agent},
           {"message", VariantToJson(message.message)}};
}

void from_json(const json& j, AgentMessage& message) {
  message.agent = j.at("agent").get<ProcessId>();
  auto inner = VariantFromJson<AgentToEntry>(j.at("message"));
  if (!inner) {
    throw json::other_error::create(501, "unknown message of an agent", &j);
  }
  message.message = *std::move(inner);
}

void to_json(json& j, const ConfigurationInForce& in_force) {
  j = *in_force.configuration;
}

void from_json(const json& j, ConfigurationInForce& in_force) {
  in_force.configuration =
      std::make_shared<const Configuration>(j.get<Configuration>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DeliverToken, request, index,
                                                text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DeliverEnd, request,
                                                finish_reason, token_count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DeliverResponse, request,
                                                answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(DeliverProblem, request, reason,
                                                not_run, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BeginClaim, request, claim)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(SettleClaim, claim)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CountReason, reason, rank,
                                                service)

void to_json(json& j, const SendToAgent& send) {
  j = json{{"agent", send.agent}, {"message", VariantToJson(send.message)}};
}

void from_json(const json& j, SendToAgent& send) {
  send.agent = j.at("agent").get<ProcessId>();
  auto inner = VariantFromJson<EntryToAgent>(j.at("message"));
  if (!inner) {
    throw json::other_error::create(501, "unknown message to an agent", &j);
  }
  send.message = *std::move(inner);
}

template <>
struct VariantNames<EntryInput> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "caller_request",
      "caller_gone",
      "caller_backlog",
      "agent_message",
      "agent_up",
      "agent_down",
      "directory_changed",
      "configuration",
      "claim_answered",
      "stop_requested",
      "limit_shares_granted"};
};
static_assert(std::variant_size_v<EntryInput> ==
              VariantNames<EntryInput>::kNames.size());

template <>
struct VariantNames<EntryEffect> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "send_to_agent",   "deliver_token", "deliver_end",  "deliver_answer",
      "deliver_problem", "ask_claim",     "settle_claim", "count_reason"};
};
static_assert(std::variant_size_v<EntryEffect> ==
              VariantNames<EntryEffect>::kNames.size());

json InputToJson(const EntryInput& input) { return VariantToJson(input); }

std::optional<EntryInput> InputFromJson(const json& j) {
  return VariantFromJson<EntryInput>(j);
}

json EffectToJson(const EntryEffect& effect) { return VariantToJson(effect); }

std::optional<EntryEffect> EffectFromJson(const json& j) {
  return VariantFromJson<EntryEffect>(j);
}

}  // namespace coltsfootfork
