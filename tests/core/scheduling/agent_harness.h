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

// Passes inputs to one agent and records all its effects.
class AgentHarness {
 public:
  explicit AgentHarness(AgentOptions options = {})
      : core(std::move(options), 1) {
    configuration.rules.deferrable_floor = 0.1;
    announcement.server = ServerId("s1");
    announcement.incarnation = 1;
    announcement.services = {ServiceId("model")};
    announcement.memory_tokens = 10000;
    announcement.max_batch = 4;
    announcement.can_resume = true;
  }

  // Configures the agent, connects one entry and announces the server.
  void StartServing() {
    Configure();
    Input(EntryConnected{entry});
    FromEngine(announcement);
  }
  void Configure() {
    Input(ConfigurationInForce{
        std::make_shared<const Configuration>(configuration)});
  }
  void Input(const AgentInput& input) { Append(core.Handle(input, now)); }
  void FromEngine(EngineToAgent message) {
    Input(EngineMessage{std::move(message)});
  }
  void Tick(milliseconds later) {
    now += later;
    Append(core.Tick(now));
  }
  void FromEntry(EntryToAgent message) {
    Input(EntryMessage{entry, std::move(message)});
  }
  void GenerateToken(const std::string& id, std::uint32_t index,
                     Generation generation = 1) {
    FromEngine(EngineToken{RequestId(id), generation, index, "t"});
  }
  void Complete(const std::string& id, std::uint32_t tokens) {
    EngineCompleted completed;
    completed.request = RequestId(id);
    completed.token_count = tokens;
    completed.finish_reason = "stop";
    FromEngine(completed);
  }

  static Dispatch MakeDispatch(const std::string& id, Rank rank = Rank::kUrgent,
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

  // The messages of one type sent to entries.
  template <typename T>
  std::vector<T> SentToEntry() const {
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
  // The messages of one type sent to the backend server.
  template <typename T>
  std::vector<T> SentToEngine() const {
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
  // The ids of the dispatched requests, separated by spaces.
  std::string SubmittedIds() const {
    std::string ids;
    for (const auto& submit : SentToEngine<EngineSubmit>()) {
      if (!ids.empty()) ids += " ";
      ids += submit.dispatch.request.value();
    }
    return ids;
  }
  int CountOf(Reason reason) const {
    int count = 0;
    for (const AgentEffect& effect : effects) {
      const auto* counted = std::get_if<CountReason>(&effect);
      if (counted != nullptr && counted->reason == reason) ++count;
    }
    return count;
  }

  Configuration configuration;
  EngineAnnouncement announcement;
  ProcessId entry{"e1"};
  Time now{seconds(1000)};
  std::vector<AgentEffect> effects;
  AgentCore core;

 private:
  void Append(std::vector<AgentEffect> more) {
    for (AgentEffect& effect : more) effects.push_back(std::move(effect));
  }
};

}  // namespace coltsfootfork
