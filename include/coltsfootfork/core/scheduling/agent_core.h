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

// Every decision of the agent, the only way to one backend server: what waits,
// what is handed over, what is refused, and what entries are told. Without
// I/O or clock; the same inputs give the same effects. Takes no request
// before the first ConfigurationInForce and EngineAnnouncement.
class AgentCore {
 public:
  AgentCore(AgentOptions options, std::uint64_t seed);
  ~AgentCore();
  AgentCore(AgentCore&&) noexcept;
  AgentCore& operator=(AgentCore&&) noexcept;

  // Takes one input and returns what follows from it, in order.
  std::vector<AgentEffect> Handle(const AgentInput& input, Time now);

  // Acts on what time alone brings about: deadlines, silence, reports. To be
  // called every 10 to 20 ms while there is work, else at NextDeadline().
  std::vector<AgentEffect> Tick(Time now);

  // When Tick has something to do, or nothing when only an input can change
  // anything.
  std::optional<Time> NextDeadline() const;

  // Whether a requested stop may end the process: nothing waits or runs.
  bool Drained() const;

 private:
  std::unique_ptr<AgentState> state_;
};

}  // namespace coltsfootfork
