#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/ids.h"

// What an agent and its backend server tell each other, free of the server's
// wire form. Only the adapter knows that.
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

// An order's place in the sequence of all orders. A higher term wins, then a
// higher sequence number.
struct Fence {
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;

  friend bool operator<(const Fence& a, const Fence& b) {
    return a.term != b.term ? a.term < b.term : a.sequence < b.sequence;
  }
  friend bool operator==(const Fence& a, const Fence& b) {
    return a.term == b.term && a.sequence == b.sequence;
  }
};

// Agent to server: load or unload a model or take a role.
struct EngineOrder {
  Fence fence;
  // "load", "unload" or "role".
  std::string action;
  std::string subject;
  std::string version;
};

// Server to agent: who it is. Repeated as a heartbeat.
struct EngineAnnouncement {
  ServerId server;
  std::uint64_t incarnation = 0;
  std::vector<ServiceId> services;
  // Tokens of key/value memory; zero for a plain service.
  std::uint64_t memory_tokens = 0;
  std::uint32_t max_batch = 0;
  bool can_resume = false;
  bool checks_fence = false;
  // The server has been told to leave and will stop.
  bool leaving = false;
  // When it stops whatever runs; zero when it waits for running work.
  std::chrono::milliseconds leaving_within{0};
};

// Server to agent: its load, some time ago.
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

// The server refused the request before it ran anything of it.
struct EngineRefused {
  RequestId request;
  Generation generation = 1;
};

// The connection that carried the request broke before its end.
struct EngineInterrupted {
  RequestId request;
  Generation generation = 1;
  // Nothing of the request was ever sent, so it cannot have run.
  bool never_sent = false;
};

// The server made room by dropping the request's memory; it goes on later.
struct EnginePreempted {
  RequestId request;
  Generation generation = 1;
};

struct EngineOrderResult {
  Fence fence;
  bool applied = false;
  std::string problem;
};

using AgentToEngine = std::variant<EngineSubmit, EngineCancel, EngineOrder>;
using EngineToAgent =
    std::variant<EngineAnnouncement, EngineLoad, CacheHint, EngineToken,
                 EngineCompleted, EngineRefused, EngineInterrupted,
                 EnginePreempted, EngineOrderResult>;

}  // namespace coltsfootfork
