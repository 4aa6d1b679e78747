#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/ids.h"

// Messages between an agent and its backend server, independent of the server's
// wire format, which only the adapter knows.
namespace coltsfootfork {

// Agent to server: run a request now.
struct EngineSubmit {
  Dispatch dispatch;
};

// Agent to server: stop a request.
struct EngineCancel {
  RequestId request;
  Generation generation = 1;
};

// Fencing token of an order: orders compare by term, then by sequence number,
// and the higher one wins.
struct FencingToken {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;

  friend bool operator<(const FencingToken& a, const FencingToken& b) {
    return a.term != b.term ? a.term < b.term : a.sequence < b.sequence;
  }
  friend bool operator==(const FencingToken& a, const FencingToken& b) {
    return a.term == b.term && a.sequence == b.sequence;
  }
};

// Agent to server: load or unload a model, or assume a role.
struct EngineOrder {
  FencingToken fence;
  // "load", "unload" or "role".
  std::string action;
  std::string subject;
  std::string version;
};

// Server to agent: identity and capabilities, repeated as a heartbeat.
struct EngineAnnouncement {
  ServerId server;
  std::uint64_t incarnation = 0;
  std::vector<ServiceId> services;
  // Tokens of key/value memory; zero for a plain service.
  std::uint64_t memory_tokens = 0;
  std::uint32_t max_batch = 0;
  bool can_resume = false;
  bool checks_fence = false;
  // The server has received a drain notice and will stop.
  bool draining = false;
  // Time until the server aborts running requests; zero if it waits for them to
  // finish.
  std::chrono::milliseconds drain_timeout{0};
};

// Server to agent: the server's load, possibly out of date.
struct EngineLoad {
  std::uint32_t running_requests = 0;
  std::uint32_t waiting_requests = 0;
  std::uint64_t memory_used_tokens = 0;
  std::uint64_t preemptions = 0;
};

struct EngineToken {
  RequestId request;
  Generation generation = 1;
  std::uint32_t index = 0;
  std::string text;
};

struct EngineCompleted {
  RequestId request;
  Generation generation = 1;
  std::uint32_t token_count = 0;
  std::string finish_reason;
  int status = 200;
  std::string content_type;
  std::string body;
};

// The server refused the request before running any part of it.
struct EngineRefused {
  RequestId request;
  Generation generation = 1;
};

// The connection that carried the request broke before the request finished.
struct EngineInterrupted {
  RequestId request;
  Generation generation = 1;
  // No part of the request was sent, so it cannot have run.
  bool never_sent = false;
};

// The server preempted the request and freed its memory; it resumes the request
// later.
struct EnginePreempted {
  RequestId request;
  Generation generation = 1;
};

struct EngineOrderResult {
  FencingToken fence;
  bool applied = false;
  std::string problem;
};

using AgentToEngine = std::variant<EngineSubmit, EngineCancel, EngineOrder>;
using EngineToAgent =
    std::variant<EngineAnnouncement, EngineLoad, CacheHint, EngineToken,
                 EngineCompleted, EngineRefused, EngineInterrupted,
                 EnginePreempted, EngineOrderResult>;

}  // namespace coltsfootfork
