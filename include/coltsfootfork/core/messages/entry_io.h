#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/messages/request_messages.h"

// Inputs and effects of the entry's decision core.
namespace coltsfootfork {

// A caller's authenticated request, parsed but not yet routed.
struct CallerRequest {
  RequestId request;
  WorkspaceId workspace;
  ServiceId service;
  RequestKind kind = RequestKind::kGeneration;
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<std::uint64_t> prefix_blocks;
  // Empty when the caller sent none.
  std::string idempotency_key;
  std::string request_digest;
};

struct CallerDisconnected {
  RequestId request;
};

// The number of delivered bytes that the caller has not yet read.
struct CallerBacklog {
  RequestId request;
  std::uint64_t bytes = 0;
};

struct AgentMessage {
  ProcessId agent;
  AgentToEntry message;
};

// The entry has connected to an agent, which sends its reports next.
struct AgentConnected {
  ProcessId agent;
};

struct AgentDisconnected {
  ProcessId agent;
};

// The agents now assigned to this entry, after an agent was removed from the
// directory or its server was marked as draining.
struct DirectoryChanged {
  std::vector<DirectoryAgent> agents;
};

struct ConfigurationInForce {
  std::shared_ptr<const Configuration> configuration;
};

struct ClaimReplied {
  RequestId request;
  ClaimBeginReply reply;
};

// Graceful shutdown: new requests are refused, running ones finish.
struct StopRequested {};

// This entry's shares of the workspaces' limits. A workspace that is not listed
// keeps the default share.
struct LimitSharesGranted {
  std::vector<WorkspaceLimitShare> shares;
};

using EntryInput =
    std::variant<CallerRequest, CallerDisconnected, CallerBacklog, AgentMessage,
                 AgentConnected, AgentDisconnected, DirectoryChanged,
                 ConfigurationInForce, ClaimReplied, StopRequested,
                 LimitSharesGranted>;

struct SendToAgent {
  ProcessId agent;
  EntryToAgent message;
};

struct DeliverToken {
  RequestId request;
  std::uint32_t index = 0;
  std::string text;
};

// The generation finished completely.
struct DeliverEnd {
  RequestId request;
  std::string finish_reason;
  std::uint32_t token_count = 0;
};

// The response of a plain call, or the stored response of an earlier request.
struct DeliverResponse {
  RequestId request;
  StoredResponse answer;
};

// The request ends with a problem document, or with an explicit incomplete end
// if its stream has begun.
struct DeliverProblem {
  RequestId request;
  Reason reason = Reason::kNone;
  bool not_run = false;
  std::chrono::milliseconds retry_after{0};
};

struct BeginClaim {
  RequestId request;
  ClaimBegin claim;
};

struct SettleClaim {
  ClaimSettle claim;
};

// Increments the counter of a reason.
struct CountReason {
  Reason reason = Reason::kNone;
  Rank rank = Rank::kDeferrable;
  ServiceId service;
};

using EntryEffect =
    std::variant<SendToAgent, DeliverToken, DeliverEnd, DeliverResponse,
                 DeliverProblem, BeginClaim, SettleClaim, CountReason>;

}  // namespace coltsfootfork
