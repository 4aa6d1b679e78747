#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "coltsfootfork/core/scheduling/agent_core.h"
#include "core/routing/fake_cluster.h"

// Runs the real entry and agent cores together, with simulated engines that
// count each run of a request, under random faults with fixed seeds.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerView;
using testing::FakeClaims;
using testing::FakeCluster;
using testing::TokenText;

constexpr std::uint64_t kSeeds = 300;
constexpr std::uint64_t kAgents = 3;
constexpr std::uint32_t kTokens = 6;
constexpr milliseconds kTick{20};
constexpr milliseconds kFaultTime{40000};
constexpr milliseconds kRecoveryTime{100000};
const ProcessId kEntry("entry1");
const std::string kResponsePrefix = "answer to ";

// A simulated backend server and its running requests.
struct Engine {
  struct Run {
    Dispatch dispatch;
    std::uint32_t next = 0;
    bool connected = true;
  };

  EngineAnnouncement announced;
  std::map<RequestId, Run> running;
  Time hangs_until;
};

struct Agent {
  AgentCore core{AgentOptions{}, 1};
  Engine engine;
  bool connected_to_entry = false;
  std::deque<AgentToEntry> to_entry;
};

class SimulatedPath {
 public:
  explicit SimulatedPath(std::uint64_t seed)
      : random_(seed), entry_(FakeCluster::DefaultOptions(), seed) {
    Entry(ConfigurationInForce{FakeCluster::MakeConfiguration()});
    for (std::uint64_t i = 0; i < kAgents; ++i) {
      Engine& engine = agents_[i].engine;
      engine.announced.server = ServerId("s" + std::to_string(i));
      engine.announced.services = {ServiceId("model"), ServiceId("ledger")};
      engine.announced.memory_tokens = 100000;
      engine.announced.max_batch = 4;
      engine.announced.can_resume = true;
      StartAgent(i);
      Connect(i);
    }
  }

  void Run() {
    for (const Time end = now_ + kFaultTime; now_ < end;) {
      if (RandomBelow(100) < 12) NewRequest();
      if (RandomBelow(100) < 6) InjectFault();
      Step();
    }
    EndFaults();
    for (const Time end = now_ + kRecoveryTime; now_ < end;) Step();
    for (const auto& [name, call] : calls_) Check(call);
    std::map<std::string, int> by_key;
    for (const auto& [name, call] : calls_) {
      if (!call.idempotency_key.empty()) {
        by_key[call.idempotency_key] += runs_[name];
      }
    }
    for (const auto& [key, runs] : by_key) BOOST_TEST(runs <= 1);
    BOOST_TEST(entry_.open_requests() == 0U);
  }

  std::map<Reason, int> reason_counts;
  int complete_responses = 0;

 private:
  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }

  void StartAgent(std::uint64_t i) {
    AgentOptions options;
    options.process = Name(i);
    agents_[i].core = AgentCore(options, 1);
    ToAgent(i, ConfigurationInForce{FakeCluster::MakeConfiguration()});
    ToAgent(i, EngineMessage{agents_[i].engine.announced});
  }

  static ProcessId Name(std::uint64_t i) {
    return ProcessId("agent" + std::to_string(i));
  }

  void Connect(std::uint64_t i) {
    if (agents_[i].connected_to_entry) return;
    agents_[i].connected_to_entry = true;
    Entry(AgentConnected{Name(i)});
    ToAgent(i, EntryConnected{kEntry});
  }

  void Disconnect(std::uint64_t i) {
    if (!agents_[i].connected_to_entry) return;
    agents_[i].connected_to_entry = false;
    agents_[i].to_entry.clear();
    Entry(AgentDisconnected{Name(i)});
    ToAgent(i, EntryDisconnected{kEntry});
  }

  void Step() {
    now_ += kTick;
    for (std::uint64_t i = 0; i < kAgents; ++i) {
      StepEngine(i);
      HandleAgentEffects(i, agents_[i].core.Tick(now_));
      Deliver(i);
    }
    HandleEntryEffects(entry_.Tick(now_));
    while (!pending_claims_.empty()) {
      const ClaimBegin begin = pending_claims_.front();
      pending_claims_.pop_front();
      Entry(ClaimReplied{begin.request, claims_.Begin(begin)});
    }
  }

  void StepEngine(std::uint64_t i) {
    Engine& engine = agents_[i].engine;
    if (engine.hangs_until > now_) return;
    if (++heartbeat_ % 25 == 0) ToAgent(i, EngineMessage{engine.announced});
    std::vector<RequestId> names;
    for (const auto& [name, run] : engine.running) names.push_back(name);
    for (const RequestId& name : names) StepRun(i, name);
  }

  void StepRun(std::uint64_t i, const RequestId& name) {
    Engine& engine = agents_[i].engine;
    const auto found = engine.running.find(name);
    if (found == engine.running.end() || RandomBelow(3) == 0) return;
    Engine::Run& run = found->second;
    const Dispatch dispatch = run.dispatch;
    const bool plain = dispatch.kind == RequestKind::kPlainCall;
    if (!plain && run.next < kTokens) {
      const std::uint32_t index = run.next++;
      if (!run.connected) return;
      ToAgent(i, EngineMessage{
                     EngineToken{name, dispatch.generation, index,
                                 TokenText(name, dispatch.generation, index)}});
      return;
    }
    if (!run.connected) return;
    engine.running.erase(found);
    EngineCompleted completed;
    completed.request = name;
    completed.generation = dispatch.generation;
    completed.token_count = plain ? 0 : kTokens;
    completed.finish_reason = plain ? "" : "stop";
    completed.body = kResponsePrefix + name.value();
    ToAgent(i, EngineMessage{completed});
  }

  void Submit(std::uint64_t i, const Dispatch& dispatch) {
    Engine& engine = agents_[i].engine;
    const auto found = engine.running.find(dispatch.request);
    const bool known = found != engine.running.end() &&
                       found->second.dispatch.generation == dispatch.generation;
    if (dispatch.first_index > 0 && known) {
      found->second.next = dispatch.first_index;
      found->second.connected = true;
    } else if (dispatch.first_index > 0 || RandomBelow(15) == 0) {
      ToAgent(i, EngineMessage{
                     EngineRefused{dispatch.request, dispatch.generation}});
    } else {
      ++runs_[dispatch.request];
      engine.running[dispatch.request] = {dispatch, 0, true};
    }
  }

  void Cancel(std::uint64_t i, const EngineCancel& cancel) {
    auto& running = agents_[i].engine.running;
    const auto found = running.find(cancel.request);
    if (found == running.end()) return;
    if (found->second.dispatch.generation == cancel.generation) {
      running.erase(found);
    }
  }

  void InjectFault() {
    const std::uint64_t i = RandomBelow(kAgents);
    Engine& engine = agents_[i].engine;
    auto& to_entry = agents_[i].to_entry;
    switch (RandomBelow(13)) {
      case 0:
        Disconnect(i);
        return;
      case 1:
      case 2:
        Connect(i);
        return;
      case 3:
        Disconnect(i);
        Interrupt(i, false);
        StartAgent(i);
        return;
      case 4:
        ++engine.announced.incarnation;
        Interrupt(i, true);
        engine.running.clear();
        engine.announced.draining = false;
        ToAgent(i, EngineMessage{engine.announced});
        return;
      case 5:
        Interrupt(i, true);
        return;
      case 6:
        engine.hangs_until = now_ + milliseconds(RandomBelow(6000));
        return;
      case 7:
        engine.announced.draining = RandomBelow(2) == 0;
        engine.announced.drain_timeout = milliseconds(RandomBelow(3000));
        ToAgent(i, EngineMessage{engine.announced});
        return;
      case 8:
        claims_.quorum = RandomBelow(2) == 0;
        return;
      case 9:
        if (calls_.empty()) return;
        DisconnectCaller();
        return;
      case 10:
        if (!to_entry.empty()) to_entry.push_back(to_entry.front());
        return;
      case 11:
        if (!to_entry.empty()) to_entry.pop_front();
        return;
      default:
        ++messages_to_drop_;
        return;
    }
  }

  // Breaks the connections between agent and engine; the engine keeps running.
  void Interrupt(std::uint64_t i, bool notify_agent) {
    std::vector<EngineInterrupted> broken;
    for (auto& [name, run] : agents_[i].engine.running) {
      run.connected = false;
      broken.push_back({name, run.dispatch.generation, false});
    }
    if (!notify_agent) return;
    for (const auto& one : broken) ToAgent(i, EngineMessage{one});
  }

  void DisconnectCaller() {
    auto chosen = calls_.begin();
    std::advance(chosen,
                 static_cast<std::ptrdiff_t>(RandomBelow(calls_.size())));
    disconnected_.insert(chosen->first);
    Entry(CallerDisconnected{chosen->first});
  }

  void EndFaults() {
    messages_to_drop_ = 0;
    claims_.quorum = true;
    for (std::uint64_t i = 0; i < kAgents; ++i) {
      agents_[i].engine.announced.draining = false;
      ++agents_[i].engine.announced.incarnation;
      agents_[i].engine.hangs_until = now_;
      ToAgent(i, EngineMessage{agents_[i].engine.announced});
      Connect(i);
    }
  }

  void NewRequest() {
    const std::string name = "r" + std::to_string(calls_.size()) + "_";
    CallerRequest call = FakeCluster::Generation(name);
    const std::uint64_t kind = RandomBelow(6);
    if (kind > 2) {
      call = FakeCluster::PlainCall(name, kind == 3 ? "GET" : "POST");
    }
    if (kind == 5) call.idempotency_key = "k" + std::to_string(RandomBelow(20));
    calls_.emplace(call.request, call);
    Entry(call);
  }

  void Deliver(std::uint64_t i) {
    auto& queue = agents_[i].to_entry;
    while (!queue.empty() && RandomBelow(4) != 0) {
      const AgentToEntry message = queue.front();
      queue.pop_front();
      Entry(AgentMessage{Name(i), message});
    }
  }

  void Entry(const EntryInput& input) {
    HandleEntryEffects(entry_.Handle(input, now_));
  }

  void ToAgent(std::uint64_t i, const AgentInput& input) {
    HandleAgentEffects(i, agents_[i].core.Handle(input, now_));
  }

  void HandleAgentEffects(std::uint64_t i,
                          const std::vector<AgentEffect>& effects) {
    for (const AgentEffect& effect : effects) {
      if (const auto* send = std::get_if<SendToEntry>(&effect)) {
        if (agents_[i].connected_to_entry) {
          agents_[i].to_entry.push_back(send->message);
        }
      } else if (const auto* engine = std::get_if<SendToEngine>(&effect)) {
        if (const auto* submit = std::get_if<EngineSubmit>(&engine->message)) {
          Submit(i, submit->dispatch);
        } else if (const auto* cancel =
                       std::get_if<EngineCancel>(&engine->message)) {
          Cancel(i, *cancel);
        }
      }
    }
  }

  void HandleEntryEffects(const std::vector<EntryEffect>& effects) {
    for (const EntryEffect& effect : effects) {
      if (const auto* send = std::get_if<SendToAgent>(&effect)) {
        const std::uint64_t i = send->agent.value().back() - '0';
        if (messages_to_drop_ > 0) {
          --messages_to_drop_;
        } else if (agents_[i].connected_to_entry) {
          ToAgent(i, EntryMessage{kEntry, send->message});
        }
      } else if (const auto* token = std::get_if<DeliverToken>(&effect)) {
        CallerView& caller = callers_[token->request];
        if (caller.final_count > 0) ++caller.tokens_after_final;
        caller.tokens.push_back(token->text);
        caller.indices.push_back(token->index);
      } else if (const auto* end = std::get_if<DeliverEnd>(&effect)) {
        callers_[end->request].end = *end;
        ++callers_[end->request].final_count;
        ++complete_responses;
      } else if (const auto* answer = std::get_if<DeliverResponse>(&effect)) {
        callers_[answer->request].answer = answer->answer;
        ++callers_[answer->request].final_count;
        ++complete_responses;
      } else if (const auto* problem = std::get_if<DeliverProblem>(&effect)) {
        callers_[problem->request].problem = *problem;
        ++callers_[problem->request].final_count;
      } else if (const auto* ask = std::get_if<BeginClaim>(&effect)) {
        pending_claims_.push_back(ask->claim);
      } else if (const auto* settle = std::get_if<SettleClaim>(&effect)) {
        claims_.Settle(settle->claim);
      } else if (const auto* count = std::get_if<CountReason>(&effect)) {
        ++reason_counts[count->reason];
      }
    }
  }

  void Check(const CallerRequest& call) {
    BOOST_TEST_CONTEXT("request " << call.request) {
      const CallerView& caller = callers_[call.request];
      const int runs = runs_[call.request];
      BOOST_TEST(caller.final_count <= 1);
      BOOST_TEST(caller.tokens_after_final == 0);
      if (disconnected_.count(call.request) == 0) {
        BOOST_TEST(caller.final_count == 1);
      }
      if (call.method == "POST" && call.kind == RequestKind::kPlainCall) {
        BOOST_TEST(runs <= 1);
      }
      if (caller.problem.has_value() && caller.problem->not_run) {
        BOOST_TEST(runs == 0);
      }
      CheckResponse(call, caller);
      testing::CheckTokens(call.request, caller);
      if (call.kind == RequestKind::kPlainCall || !caller.end) return;
      BOOST_TEST(caller.tokens.size() == kTokens);
    }
  }

  // A plain call receives its own response, or that of the request that ran
  // under the same idempotency key.
  void CheckResponse(const CallerRequest& call, const CallerView& caller) {
    if (!caller.answer.has_value()) return;
    const std::string responder =
        caller.answer->body.substr(kResponsePrefix.size());
    if (responder == call.request.value()) return;
    BOOST_TEST(!call.idempotency_key.empty());
    BOOST_TEST(calls_.at(RequestId(responder)).idempotency_key ==
               call.idempotency_key);
  }

  std::mt19937_64 random_;
  Time now_{seconds(1000)};
  EntryCore entry_;
  Agent agents_[kAgents];
  FakeClaims claims_;
  std::deque<ClaimBegin> pending_claims_;
  std::map<RequestId, CallerRequest> calls_;
  std::map<RequestId, CallerView> callers_;
  std::map<RequestId, int> runs_;
  std::set<RequestId> disconnected_;
  std::uint64_t heartbeat_ = 0;
  int messages_to_drop_ = 0;
};

BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomFaults) {
  std::map<Reason, int> reason_counts;
  int complete_responses = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      SimulatedPath path(seed);
      path.Run();
      complete_responses += path.complete_responses;
      for (const auto& [reason, count] : path.reason_counts) {
        reason_counts[reason] += count;
      }
    }
  }
  BOOST_TEST(complete_responses > 0);
  // Guards against faults that no longer exercise the intended code paths.
  for (const Reason reason :
       {Reason::kStaleGeneration, Reason::kDuplicateFrame, Reason::kFrameGap,
        Reason::kRetriedBeforeFirstToken, Reason::kResumed, Reason::kAgentLost,
        Reason::kServerLost, Reason::kServerRefused, Reason::kServerDraining,
        Reason::kReclaimMove, Reason::kStreamIncomplete, Reason::kNoServer,
        Reason::kOutcomeUnknown, Reason::kStreamStalled, Reason::kNoQuorum,
        Reason::kClaimInProgress, Reason::kClaimOutcomeUnknown,
        Reason::kCallerDisconnected, Reason::kDeadlineUnreachable}) {
    BOOST_TEST(reason_counts[reason] > 0, "never seen: " << ReasonName(reason));
  }
}

}  // namespace
}  // namespace coltsfootfork
