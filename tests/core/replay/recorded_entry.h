#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "coltsfootfork/core/replay/trace_recorder.h"
#include "coltsfootfork/core/routing/entry_core.h"

namespace coltsfootfork::testing {

// An entry core whose inputs and effects are recorded while a script simulates
// its callers and its two agents, "a" and "b".
class RecordedEntry {
 public:
  explicit RecordedEntry(bool whole_bodies);

  void Input(const EntryInput& input);
  void Tick(std::chrono::milliseconds after);
  void SendStreamRequest(const std::string& request);
  void SendSaleRequest(const std::string& request);
  void ApplyConfiguration(Revision revision);
  // Messages about the last dispatch, from the agent that received it.
  void SendToken(std::uint32_t index);
  void SendTokenOfGeneration(Generation generation, std::uint32_t index);
  void SendCompleted(std::uint32_t tokens);
  void SendRefused(Reason reason);
  void SendInterrupted(bool resumable);
  void SendAgentMessage(const ProcessId& agent, AgentToEntry message);
  void ConnectAgent(const ProcessId& agent);

  const ProcessId& agent() const { return dispatch_agent_; }
  const Dispatch& dispatch() const { return last_dispatch_; }
  // Ends the trace and returns it.
  std::string Finish();

 private:
  void RememberLastDispatch(const std::vector<EntryEffect>& effects);

  std::ostringstream out_;
  TraceHeader header_;
  TraceRecorder recorder_;
  EntryCore core_;
  Time now_{std::chrono::seconds(1000)};
  ProcessId dispatch_agent_;
  Dispatch last_dispatch_;
};

struct TraceScenario {
  std::string name;
  std::string trace;
};

// Records the traces of tests/core/replay/traces again.
std::vector<TraceScenario> RecordTraces();

}  // namespace coltsfootfork::testing
