#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"

namespace coltsfootfork::testing {

inline constexpr std::uint32_t kStreamTokens = 4;

// The text of a token, made of its request, generation and index.
inline std::string TokenText(const RequestId& request, Generation generation,
                             std::uint32_t index) {
  return request.value() + "/" + std::to_string(generation) + "/" +
         std::to_string(index) + " ";
}

// One generation or call at the backend server.
struct FakeRun {
  Dispatch dispatch;
  bool started = false;
  std::uint32_t next = 0;
};

// An agent and its backend server, which counts the runs of each request.
class FakeAgent {
 public:
  FakeAgent() = default;
  FakeAgent(std::string name, std::map<RequestId, int>* runs)
      : name_(std::move(name)), runs_(runs) {}

  const std::string& name() const { return name_; }

  void Receive(const EntryToAgent& message) {
    if (const auto* cancel = std::get_if<CancelRequest>(&message)) {
      Cancel(*cancel);
      return;
    }
    const auto& dispatch = std::get<Dispatch>(message);
    dispatched_.push_back(dispatch.request);
    if (dispatch.first_index == 0) {
      runs_at_server_[dispatch.request] = {dispatch, false, 0};
    } else {
      Resume(dispatch);
    }
  }

  ServerReport Report() const {
    ServerReport report;
    report.server = ServerId("server-of-" + name_);
    report.incarnation = incarnation_;
    report.zone = ZoneId("z1");
    report.services = {ServiceId("model"), ServiceId("ledger")};
    report.serving = true;
    report.memory_tokens = 100000;
    report.prefill_per_token = std::chrono::microseconds(20);
    return report;
  }

  // Starts a request that has not started, and counts the run.
  void Start(const RequestId& request) {
    FakeRun* run = Find(request);
    if (run == nullptr || run->started) return;
    run->started = true;
    ++(*runs_)[request];
  }

  // Sends the next token, or the end after the last one.
  void Step(const RequestId& request) {
    FakeRun* run = Find(request);
    if (run == nullptr || !run->started) return;
    const Dispatch& dispatch = run->dispatch;
    const bool plain = dispatch.kind == RequestKind::kPlainCall;
    if (!plain && run->next < kStreamTokens) {
      const std::uint32_t index = run->next++;
      outbox_.emplace_back(
          TokenFrame{request, dispatch.generation, index,
                     TokenText(request, dispatch.generation, index)});
      return;
    }
    RequestCompleted completed;
    completed.request = request;
    completed.generation = dispatch.generation;
    completed.token_count = plain ? 0 : kStreamTokens;
    completed.finish_reason = plain ? "" : "stop";
    completed.body = plain ? "answer to " + request.value() : "";
    outbox_.emplace_back(completed);
    if (plain) runs_at_server_.erase(request);
  }

  void Finish(const RequestId& request) {
    Start(request);
    for (std::uint32_t i = 0; i <= kStreamTokens; ++i) Step(request);
  }

  // Refuses a request that has not started.
  void Refuse(const RequestId& request, Reason reason) {
    FakeRun* run = Find(request);
    if (run == nullptr || run->started) return;
    RequestRefused refused;
    refused.request = request;
    refused.generation = run->dispatch.generation;
    refused.reason = reason;
    outbox_.emplace_back(refused);
    runs_at_server_.erase(request);
  }

  // Breaks the connection to the server; the agent does not know whether the
  // request ran.
  void Interrupt(const RequestId& request, bool resumable) {
    FakeRun* run = Find(request);
    if (run == nullptr) return;
    outbox_.emplace_back(RequestInterrupted{request, run->dispatch.generation,
                                            Reason::kServerLost, resumable});
    if (!resumable) runs_at_server_.erase(request);
  }

  // Restarts the backend server: started requests are interrupted, and those
  // that have not started are refused as not run.
  void RestartServer() {
    ++incarnation_;
    for (const RequestId& request : Requests()) {
      Refuse(request, Reason::kServerLost);
      Interrupt(request, false);
    }
  }

  // Restarts the agent's process, which loses all its requests.
  void Restart() {
    ++incarnation_;
    runs_at_server_.clear();
    outbox_.clear();
  }

  std::vector<RequestId> Requests() const {
    std::vector<RequestId> names;
    for (const auto& [name, run] : runs_at_server_) names.push_back(name);
    return names;
  }
  // The requests of all dispatches so far, in order.
  const std::vector<RequestId>& dispatched() const { return dispatched_; }
  bool HasRequest(const RequestId& request) const {
    return runs_at_server_.count(request) > 0;
  }
  RequestKind KindOf(const RequestId& request) const {
    return runs_at_server_.at(request).dispatch.kind;
  }
  std::deque<AgentToEntry>& outbox() { return outbox_; }

 private:
  FakeRun* Find(const RequestId& request) {
    const auto found = runs_at_server_.find(request);
    return found == runs_at_server_.end() ? nullptr : &found->second;
  }

  void Cancel(const CancelRequest& cancel) {
    const FakeRun* run = Find(cancel.request);
    if (run == nullptr || run->dispatch.generation != cancel.generation) return;
    runs_at_server_.erase(cancel.request);
  }

  void Resume(const Dispatch& dispatch) {
    FakeRun* run = Find(dispatch.request);
    if (run != nullptr && run->started &&
        run->dispatch.generation == dispatch.generation) {
      run->next = dispatch.first_index;
      return;
    }
    RequestRefused refused;
    refused.request = dispatch.request;
    refused.generation = dispatch.generation;
    refused.reason = Reason::kServerLost;
    outbox_.emplace_back(refused);
  }

  std::string name_;
  std::map<RequestId, int>* runs_ = nullptr;
  std::uint64_t incarnation_ = 1;
  std::map<RequestId, FakeRun> runs_at_server_;
  std::deque<AgentToEntry> outbox_;
  std::vector<RequestId> dispatched_;
};

}  // namespace coltsfootfork::testing
