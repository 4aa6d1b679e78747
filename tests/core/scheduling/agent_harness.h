#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coltsfootfork/core/scheduling/agent_core.h"

namespace coltsfootfork {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Drives one agent with inputs and keeps all its effects.
class AgentHarness {
 public:
  explicit AgentHarness(AgentOptions options = {})
      : core(std::move(options), 1) {
    configuration.rules.deferrable_floor = 0.1;
    announced.server = ServerId("s1");
    announced.incarnation = 1;
    announced.services = {ServiceId("model")};
    announced.memory_tokens = 10000;
    announced.max_batch = 4;
    announced.can_resume = true;
  }

  // Brings the agent to serving for one entry.
  void Serve() {
    Configure();
    Give(EntryConnected{entry});
    Engine(announced);
  }
  void Configure() {
    Give(ConfigurationInForce{
        std::make_shared<const Configuration>(configuration)});
  }
  void Give(const AgentInput& input) { Keep(core.Handle(input, now)); }
  void Engine(EngineToAgent message) {
    Give(EngineMessage{std::move(message)});
  }
  void Tick(milliseconds later) {
    now += later;
    Keep(core.Tick(now));
  }
  void Send(EntryToAgent message) {
    Give(EntryMessage{entry, std::move(message)});
  }
  void Token(const std::string& id, std::uint32_t index,
             Generation generation = 1) {
    Engine(EngineToken{RequestId(id), generation, index, "t"});
  }
  void Complete(const std::string& id, std::uint32_t tokens) {
    EngineCompleted completed;
    completed.request = RequestId(id);
    completed.token_count = tokens;
    completed.finish_reason = "stop";
    Engine(completed);
  }

  static Dispatch Work(const std::string& id, Rank rank = Rank::kUrgent,
                       const std::string& workspace = "w1") {
    Dispatch dispatch;
    dispatch.request = RequestId(id);
    dispatch.workspace = WorkspaceId(workspace);
    dispatch.service = ServiceId("model");
    dispatch.rank = rank;
    dispatch.prompt_tokens = 10;
    dispatch.start_within = seconds(30);
    return dispatch;
  }

  // The messages of one type that entries got.
  template <typename T>
  std::vector<T> AtEntry() const {
    std::vector<T> found;
    for (const AgentEffect& effect : effects) {
      const auto* sent = std::get_if<SendToEntry>(&effect);
      if (sent == nullptr) continue;
      if (const T* message = std::get_if<T>(&sent->message)) {
        found.push_back(*message);
      }
    }
    return found;
  }
  // The messages of one type that the backend server got.
  template <typename T>
  std::vector<T> AtEngine() const {
    std::vector<T> found;
    for (const AgentEffect& effect : effects) {
      const auto* sent = std::get_if<SendToEngine>(&effect);
      if (sent == nullptr) continue;
      if (const T* message = std::get_if<T>(&sent->message)) {
        found.push_back(*message);
      }
    }
    return found;
  }
  // The ids of the requests handed over, joined by blanks.
  std::string Started() const {
    std::string ids;
    for (const auto& submit : AtEngine<EngineSubmit>()) {
      if (!ids.empty()) ids += " ";
      ids += submit.dispatch.request.value();
    }
    return ids;
  }
  int Counted(Reason reason) const {
    int count = 0;
    for (const AgentEffect& effect : effects) {
      const auto* counted = std::get_if<CountReason>(&effect);
      if (counted != nullptr && counted->reason == reason) ++count;
    }
    return count;
  }

  Configuration configuration;
  EngineAnnouncement announced;
  ProcessId entry{"e1"};
  Time now{seconds(1000)};
  std::vector<AgentEffect> effects;
  AgentCore core;

 private:
  void Keep(std::vector<AgentEffect> more) {
    for (AgentEffect& effect : more) effects.push_back(std::move(effect));
  }
};

}  // namespace coltsfootfork
