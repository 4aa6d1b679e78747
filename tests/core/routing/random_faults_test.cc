#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>

#include "core/routing/fake_cluster.h"

// Random faults against the invariants of every answer, over fixed seeds.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerView;
using testing::FakeAgent;
using testing::FakeCluster;
using testing::kStreamTokens;
using testing::TokenText;

constexpr std::uint64_t kSeeds = 300;
constexpr int kStepsPerSeed = 400;
constexpr std::size_t kAgents = 4;
constexpr std::uint64_t kKeys = 5;

class RandomFaults {
 public:
  explicit RandomFaults(std::uint64_t seed)
      : random_(seed), cluster_(kAgents, seed) {}

  void Run() {
    for (int i = 0; i < kStepsPerSeed; ++i) Step();
    Heal();
    for (const auto& [name, call] : calls_) Check(call);
    for (const auto& [key, runs] : RunsByKey()) BOOST_TEST(runs <= 1);
    BOOST_TEST(cluster_.entry.open_requests() == 0U);
  }

  std::map<Reason, int>& counts() { return cluster_.counts; }

 private:
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }

  ProcessId AnyAgent() {
    return ProcessId("agent" + std::to_string(Draw(kAgents)));
  }

  void Step() {
    const std::uint64_t draw = Draw(100);
    if (draw < 15) {
      NewRequest();
    } else if (draw < 40) {
      Progress();
    } else if (draw < 70) {
      cluster_.DeliverOne(AnyAgent());
    } else if (draw < 80) {
      cluster_.Pass(milliseconds(1 + Draw(400)));
    } else if (draw < 84) {
      cluster_.AnswerClaims();
    } else {
      Fault();
    }
  }

  void NewRequest() {
    const std::string name = "r" + std::to_string(calls_.size()) + "_";
    CallerRequest call = FakeCluster::Generation(name);
    const std::uint64_t kind = Draw(6);
    if (kind > 2) {
      call = FakeCluster::PlainCall(name, kind == 3 ? "GET" : "POST");
    }
    if (kind == 5) call.idempotency_key = "k" + std::to_string(Draw(kKeys));
    calls_.emplace(call.request, call);
    cluster_.Input(call);
  }

  void Progress() {
    FakeAgent& agent = cluster_.agents.at(AnyAgent());
    for (const RequestId& request : agent.Requests()) {
      const std::uint64_t draw = Draw(4);
      if (draw == 0) agent.Start(request);
      if (draw == 1) agent.Step(request);
    }
  }

  void Fault() {
    const ProcessId id = AnyAgent();
    FakeAgent& agent = cluster_.agents.at(id);
    auto& outbox = agent.outbox();
    switch (Draw(12)) {
      case 0:
        if (cluster_.links[id]) cluster_.LinkDown(id);
        return;
      case 1:
      case 2:
        if (!cluster_.links[id]) cluster_.LinkUp(id);
        return;
      case 3:
        if (!outbox.empty()) outbox.push_back(outbox.front());
        return;
      case 4:
        if (!outbox.empty()) outbox.pop_front();
        return;
      case 5:
        agent.CrashServer();
        return;
      case 6:
        if (cluster_.links[id]) cluster_.LinkDown(id);
        agent.Restart();
        return;
      case 7:
        agent.SetDraining(Draw(2) == 0);
        return;
      case 8:
        cluster_.claims.quorum = Draw(2) == 0;
        return;
      case 9:
        GoneCaller();
        return;
      case 10:
        RefuseOrInterrupt(&agent);
        return;
      default:
        ++cluster_.sends_to_lose;
        return;
    }
  }

  void GoneCaller() {
    if (calls_.empty()) return;
    const RequestId name("r" + std::to_string(Draw(calls_.size())) + "_");
    gone_.insert(name);
    cluster_.Input(CallerGone{name});
  }

  void RefuseOrInterrupt(FakeAgent* agent) {
    constexpr Reason kReasons[] = {Reason::kQueueFull, Reason::kServerDraining,
                                   Reason::kServerRefused,
                                   Reason::kRequestTooLarge};
    for (const RequestId& request : agent->Requests()) {
      if (Draw(2) == 0) {
        agent->Refuse(request, kReasons[Draw(4)]);
      } else {
        agent->Interrupt(request, Draw(2) == 0);
      }
    }
  }

  void Heal() {
    cluster_.sends_to_lose = 0;
    cluster_.claims.quorum = true;
    for (auto& [id, agent] : cluster_.agents) {
      agent.SetDraining(false);
      if (!cluster_.links[id]) cluster_.LinkUp(id);
    }
    cluster_.RunAll(seconds(100), seconds(1));
  }

  static std::string GenerationOf(const std::string& token) {
    const std::size_t from = token.find('/') + 1;
    return token.substr(from, token.find('/', from) - from);
  }

  void CheckTokens(const CallerRequest& call, const CallerView& caller) {
    if (call.kind == RequestKind::kPlainCall) return;
    for (std::size_t i = 0; i < caller.tokens.size(); ++i) {
      const auto generation = static_cast<Generation>(
          std::stoul(GenerationOf(caller.tokens.front())));
      BOOST_TEST(caller.indices[i] == i);
      BOOST_TEST(caller.tokens[i] == TokenText(call.request, generation,
                                               static_cast<std::uint32_t>(i)));
    }
    if (caller.end.has_value()) {
      BOOST_TEST(caller.tokens.size() == kStreamTokens);
    }
  }

  void CheckAnswer(const CallerRequest& call, const CallerView& caller) {
    if (!caller.answer.has_value()) return;
    const std::string prefix = "answer to ";
    const std::string author = caller.answer->body.substr(prefix.size());
    if (author == call.request.value()) return;
    BOOST_TEST(!call.idempotency_key.empty());
    BOOST_TEST(calls_.at(RequestId(author)).idempotency_key ==
               call.idempotency_key);
  }

  void Check(const CallerRequest& call) {
    BOOST_TEST_CONTEXT("request " << call.request) {
      const CallerView& caller = cluster_.callers[call.request];
      const int runs = cluster_.runs[call.request];
      const bool gone = gone_.count(call.request) > 0;
      BOOST_TEST(caller.finals <= 1);
      if (!gone) BOOST_TEST(caller.finals == 1);
      BOOST_TEST(caller.after_final == 0);
      if (call.method == "POST" && call.kind == RequestKind::kPlainCall) {
        BOOST_TEST(runs <= 1);
      }
      if (caller.problem.has_value() && caller.problem->not_run) {
        BOOST_TEST(runs == 0);
      }
      CheckTokens(call, caller);
      CheckAnswer(call, caller);
    }
  }

  std::map<std::string, int> RunsByKey() {
    std::map<std::string, int> by_key;
    for (const auto& [name, call] : calls_) {
      if (call.idempotency_key.empty()) continue;
      by_key[call.idempotency_key] += cluster_.runs[name];
    }
    return by_key;
  }

  std::mt19937_64 random_;
  FakeCluster cluster_;
  std::map<RequestId, CallerRequest> calls_;
  std::set<RequestId> gone_;
};

BOOST_AUTO_TEST_SUITE(RandomFaultsTest)

BOOST_AUTO_TEST_CASE(InvariantsHoldOverAllSeeds) {
  std::map<Reason, int> counts;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomFaults faults(seed);
      faults.Run();
      for (const auto& [reason, count] : faults.counts()) {
        counts[reason] += count;
      }
    }
  }
  // The faults must have reached the paths that they are meant for.
  for (const Reason reason :
       {Reason::kStaleGeneration, Reason::kDuplicateFrame, Reason::kFrameGap,
        Reason::kRetriedBeforeFirstToken, Reason::kResumed, Reason::kAgentLost,
        Reason::kServerLost, Reason::kStreamIncomplete, Reason::kOutcomeUnknown,
        Reason::kStreamStalled, Reason::kNoQuorum, Reason::kClaimInProgress,
        Reason::kClaimOutcomeUnknown, Reason::kCallerGone}) {
    BOOST_TEST(counts[reason] > 0, "never seen: " << ReasonName(reason));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
