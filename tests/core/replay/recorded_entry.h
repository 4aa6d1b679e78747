#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "coltsfootfork/core/replay/trace_recorder.h"
#include "coltsfootfork/core/routing/entry_core.h"

namespace coltsfootfork::testing {

// An entry core that is recorded while a script plays its callers and its two
// agents, "a" and "b".
class RecordedEntry {
 public:
  explicit RecordedEntry(bool whole_bodies);

  void Input(const EntryInput& input);
  void Tick(std::chrono::milliseconds after);
  void AskStream(const std::string& request);
  void AskSale(const std::string& request);
  void ConfigurationOf(Revision revision);
  // What the agent that holds the last hand-over says of it.
  void Token(std::uint32_t index);
  void TokenOf(Generation generation, std::uint32_t index);
  void Completed(std::uint32_t tokens);
  void Refused(Reason reason);
  void Interrupted(bool resumable);
  void SendFrom(const ProcessId& agent, AgentToEntry message);
  void LinkUp(const ProcessId& agent);

  const ProcessId& agent() const { return agent_; }
  const Dispatch& dispatch() const { return dispatch_; }
  // Ends the trace and returns it.
  std::string Finish();

 private:
  void Note(const std::vector<EntryEffect>& effects);

  std::ostringstream out_;
  TraceHeader header_;
  TraceRecorder recorder_;
  EntryCore core_;
  Time now_{std::chrono::seconds(1000)};
  ProcessId agent_;
  Dispatch dispatch_;
};

struct TraceScenario {
  std::string name;
  std::string trace;
};

// The shipped traces, made anew.
std::vector<TraceScenario> MakeTraces();

}  // namespace coltsfootfork::testing
