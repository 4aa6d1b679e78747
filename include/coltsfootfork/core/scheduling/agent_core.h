#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "coltsfootfork/core/messages/agent_io.h"
#include "coltsfootfork/core/scheduling/agent_options.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct AgentState;

// Makes all decisions of the agent, the only path to one backend server: which
// requests are queued, dispatched or refused, and which messages entries
// receive. Performs no I/O and reads no clock; the same inputs produce the same
// effects. Refuses requests until the first ConfigurationInForce and
// EngineAnnouncement arrive.
class AgentCore {
 public:
  AgentCore(AgentOptions options, std::uint64_t seed);
  ~AgentCore();
  AgentCore(AgentCore&&) noexcept;
  AgentCore& operator=(AgentCore&&) noexcept;

  // Processes one input and returns the resulting effects in order.
  std::vector<AgentEffect> Handle(const AgentInput& input, Time now);

  // Processes deadlines, inactivity timeouts and periodic reports. Call it
  // every 10 to 20 ms while requests are queued or running, else at
  // NextDeadline().
  std::vector<AgentEffect> Tick(Time now);

  // The time of the next deadline, timeout or report; empty when only an input
  // can change the state.
  std::optional<Time> NextDeadline() const;

  // True when no request is queued or running, so that a graceful shutdown can
  // finish.
  bool Drained() const;

 private:
  std::unique_ptr<AgentState> state_;
};

}  // namespace coltsfootfork
