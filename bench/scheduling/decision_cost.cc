#include "scheduling/decision_cost.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/scheduling/agent_core.h"

namespace coltsfootfork {
namespace {

constexpr std::uint32_t kBatch = 64;
constexpr int kWarmUpSteps = 500;
constexpr int kRounds = 1000;
constexpr std::size_t kBodyBytes = 1024;
const ProcessId kEntry("entry");

// Microseconds of processor time that a call takes.
template <typename Call>
double Timed(Call call) {
  const auto start = std::chrono::steady_clock::now();
  call();
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  return took.count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.at(values.size() / 2);
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

AgentOptions LargeQueue(const AdmissionPolicy& admission) {
  AgentOptions options;
  options.policy.admission = admission;
  options.queue = {1'000'000, 1'000'000};
  return options;
}

// An agent with a full batch and a number of waiting requests.
class LoadedAgent {
 public:
  explicit LoadedAgent(
      int workspaces, std::uint32_t batch = kBatch,
      const AdmissionPolicy& admission = AdmitByPredictedPeak{})
      : workspaces_(workspaces),
        batch_(batch),
        agent_(LargeQueue(admission), 1) {
    const auto configuration = std::make_shared<Configuration>();
    for (int i = 0; i < workspaces; ++i) {
      Workspace workspace;
      workspace.id = WorkspaceName(i);
      configuration->workspaces.push_back(workspace);
    }
    Give(ConfigurationInForce{configuration});
    Give(EntryConnected{kEntry});
    Heartbeat();
  }

  void FillBatch() {
    Enqueue(kBatch + 1);
    for (int i = 0; i < kWarmUpSteps; ++i) Step();
  }
  void Enqueue(int count) {
    for (int i = 0; i < count; ++i) Give(NextDispatch());
  }
  // One token for each running request, then a tick.
  void Step() {
    now_ += std::chrono::milliseconds(20);
    const std::deque<RequestId> running = running_;
    for (const RequestId& request : running) Give(NextToken(request));
    if (++steps_ % 20 == 0) Heartbeat();
    Follow(agent_.Tick(now_));
  }

  double TimeDispatch() {
    const EntryMessage message = NextDispatch();
    return Timed([&] { Follow(agent_.Handle(message, now_)); });
  }
  double TimeCompletion() {
    EngineCompleted completed;
    completed.request = running_.front();
    completed.token_count = made_.at(completed.request);
    running_.pop_front();
    const EngineMessage message{completed};
    return Timed([&] { Follow(agent_.Handle(message, now_)); });
  }
  double TimeToken() {
    const EngineMessage message = NextToken(running_.back());
    return Timed([&] { Follow(agent_.Handle(message, now_)); });
  }
  double TimeTick() {
    now_ += std::chrono::milliseconds(1);
    return Timed([&] { Follow(agent_.Tick(now_)); });
  }
  std::size_t running() const { return running_.size(); }

 private:
  static WorkspaceId WorkspaceName(int number) {
    return WorkspaceId("workspace-" + std::to_string(number));
  }

  EntryMessage NextDispatch() {
    Dispatch dispatch;
    dispatch.request = RequestId("entry-1-request-" + std::to_string(count_));
    dispatch.workspace = WorkspaceName(count_++ % workspaces_);
    dispatch.service = ServiceId("model");
    dispatch.rank = count_ % 3 == 0 ? Rank::kUrgent : Rank::kDeferrable;
    dispatch.prompt_tokens = 100;
    dispatch.body.assign(kBodyBytes, 'x');
    return {kEntry, dispatch};
  }
  EngineMessage NextToken(const RequestId& request) {
    return {EngineToken{request, 1, made_[request]++, "text"}};
  }
  void Heartbeat() {
    EngineAnnouncement announced;
    announced.server = ServerId("engine");
    announced.incarnation = 1;
    announced.services = {ServiceId("model")};
    announced.memory_tokens = 1'000'000;
    announced.max_batch = batch_;
    Give(EngineMessage{announced});
  }
  void Give(const AgentInput& input) { Follow(agent_.Handle(input, now_)); }
  void Follow(const std::vector<AgentEffect>& effects) {
    for (const AgentEffect& effect : effects) {
      const auto* sent = std::get_if<SendToEngine>(&effect);
      if (sent == nullptr) continue;
      if (const auto* submit = std::get_if<EngineSubmit>(&sent->message)) {
        running_.push_back(submit->dispatch.request);
        made_[submit->dispatch.request] = 0;
      }
    }
  }

  int workspaces_;
  std::uint32_t batch_;
  AgentCore agent_;
  Time now_{std::chrono::seconds(1)};
  int count_ = 0;
  int steps_ = 0;
  std::deque<RequestId> running_;
  std::unordered_map<RequestId, std::uint32_t> made_;
};

void PrintCost(int queued, int workspaces) {
  LoadedAgent agent(workspaces);
  agent.FillBatch();
  agent.Enqueue(queued);
  std::vector<double> dispatch;
  std::vector<double> completion;
  std::vector<double> token;
  std::vector<double> tick;
  for (int i = 0; i < kRounds; ++i) {
    completion.push_back(agent.TimeCompletion());
    dispatch.push_back(agent.TimeDispatch());
    tick.push_back(agent.TimeTick());
    agent.TimeToken();
    token.push_back(agent.TimeToken());
  }
  std::printf("| %d | %d | %zu | %.2f | %.2f | %.2f | %.2f |\n", queued,
              workspaces, agent.running(), Median(dispatch), Median(completion),
              Median(token), Median(tick));
}

// Starts that many requests of as many workspaces and ends them all.
void PrintRunningMemory() {
  constexpr int kRunning = 1700;
  LoadedAgent agent(kRunning, kRunning, AdmitUntilFull{});
  const std::size_t idle = HeapBytes();
  agent.Enqueue(kRunning);
  std::printf("running request, with the bench's own note of it: %zu bytes\n",
              (HeapBytes() - idle) / kRunning);
  for (int i = 0; i < kRunning; ++i) agent.TimeCompletion();
  std::printf("workspace that has been served: %zu bytes\n",
              (HeapBytes() - idle) / kRunning);
}

void PrintMemory() {
  constexpr int kQueued = 10000;
  LoadedAgent agent(10);
  agent.FillBatch();
  const std::size_t before = HeapBytes();
  agent.Enqueue(kQueued);
  const std::size_t queued = HeapBytes() - before;
  std::printf("\nqueued request with a body of %zu bytes: %zu bytes\n",
              kBodyBytes, queued / kQueued);
  const std::size_t empty = HeapBytes();
  const LoadedAgent small(10);
  const std::size_t ten = HeapBytes() - empty;
  const LoadedAgent large(1710);
  const std::size_t more = HeapBytes() - empty - ten;
  std::printf("idle agent with 10 workspaces: %zu bytes\n", ten);
  std::printf("each further workspace, configured: %zu bytes\n",
              (more - ten) / 1700);
  PrintRunningMemory();
}

}  // namespace

void MeasureDecisionCost() {
  std::printf("\n## Cost of one decision, median in us\n\n");
  std::printf(
      "| queued | workspaces | running | dispatch | completion and next start"
      " | token | tick |\n|---|---|---|---|---|---|---|\n");
  for (const int queued : {10, 1000, 100'000}) {
    for (const int workspaces : {10, 170, 1700}) PrintCost(queued, workspaces);
  }
  PrintMemory();
}

}  // namespace coltsfootfork
