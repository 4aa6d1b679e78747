#pragma once

#include <nlohmann/json.hpp>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "wire/request_codec.h"

// JSON encoding of the validated configuration and of an entry's options, for
// traces only. Operators write the configuration document instead.
namespace coltsfootfork {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AvailabilityZone, id, region)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Service, id, kind)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(InventoryServer, id, zone,
                                                services)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkspaceLimits,
                                                requests_per_second,
                                                tokens_per_second,
                                                concurrent_streams)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Workspace, id, key_sha256,
                                                weight, limits)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(NonIdempotentRule, service,
                                                method, path_prefix)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RankTarget, first_token,
                                                token_gap, start_within)
void to_json(nlohmann::json& j, const RankRule& rule);
void from_json(const nlohmann::json& j, RankRule& rule);
void to_json(nlohmann::json& j, const Rules& rules);
void from_json(const nlohmann::json& j, Rules& rules);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Configuration, revision, zones,
                                                services, servers, workspaces,
                                                rules)

void to_json(nlohmann::json& j, const ChoicePolicy& policy);
void from_json(const nlohmann::json& j, ChoicePolicy& policy);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ChoiceOptions, policy, samples,
                                                report_fresh_for, report_lag,
                                                ramp, running_cost, send_cost,
                                                other_zone_distance,
                                                other_region_distance,
                                                hint_blocks_per_server)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    RetryOptions, budget_share, budget_limit, budget_per_second, max_dispatches,
    max_resumes, server_wait, max_waiting, claim_timeout,
    abandoned_claim_timeout, agent_silence, stall, plain_call_timeout,
    resume_wait, caller_buffer_bytes, caller_stall, default_retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(EntryOptions, process, zone,
                                                choice, retry, default_share)

}  // namespace coltsfootfork
