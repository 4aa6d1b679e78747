#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/routing/entry_core.h"
#include "core/routing/fake_agent.h"

namespace coltsfootfork::testing {

// The effects delivered to one caller.
struct CallerView {
  std::vector<std::string> tokens;
  std::vector<std::uint32_t> indices;
  std::optional<DeliverEnd> end;
  std::optional<StoredResponse> answer;
  std::optional<DeliverProblem> problem;
  int final_count = 0;
  int tokens_after_final = 0;
};

// Checks that all tokens of a caller are of one generation and in order.
inline void CheckTokens(const RequestId& request, const CallerView& caller) {
  for (std::size_t i = 0; i < caller.tokens.size(); ++i) {
    const std::string& first = caller.tokens.front();
    const auto generation =
        static_cast<Generation>(std::stoul(first.substr(first.find('/') + 1)));
    BOOST_TEST(caller.indices[i] == i);
    BOOST_TEST(caller.tokens[i] ==
               TokenText(request, generation, static_cast<std::uint32_t>(i)));
  }
}

// The claims of the control replicas, with or without a quorum.
class FakeClaims {
 public:
  ClaimBeginReply Begin(const ClaimBegin& begin) {
    if (!quorum) return {ClaimVerdict::kNoQuorum, {}, {}};
    const auto [it, added] = claims_.try_emplace(begin.claim);
    Claim& claim = it->second;
    if (!added && claim.digest != begin.request_digest) {
      return {ClaimVerdict::kKeyReused, {}, {}};
    }
    if (!added && claim.verdict != ClaimVerdict::kGranted) {
      return {claim.verdict, claim.answer, {}};
    }
    claim = {
        begin.request, begin.request_digest, ClaimVerdict::kInProgress, {}};
    return {ClaimVerdict::kGranted, {}, {}};
  }

  void Settle(const ClaimSettle& settle) {
    if (!quorum) return;
    const auto found = claims_.find(settle.claim);
    if (found == claims_.end() || found->second.holder != settle.request) {
      return;
    }
    Claim& claim = found->second;
    claim.answer = settle.answer;
    claim.verdict = settle.outcome == ClaimOutcome::kDone ? ClaimVerdict::kDone
                    : settle.outcome == ClaimOutcome::kNotRun
                        ? ClaimVerdict::kGranted
                        : ClaimVerdict::kOutcomeUnknown;
  }

  bool quorum = true;

 private:
  struct Claim {
    RequestId holder;
    std::string digest;
    ClaimVerdict verdict = ClaimVerdict::kInProgress;
    StoredResponse answer;
  };
  std::map<ClaimKey, Claim> claims_;
};

// An entry core with fake callers, agents and control replicas, which a test
// controls.
class FakeCluster {
 public:
  explicit FakeCluster(std::size_t agent_count, std::uint64_t seed = 1,
                       EntryOptions options = DefaultOptions())
      : entry(std::move(options), seed) {
    Input(ConfigurationInForce{MakeConfiguration()});
    for (std::size_t i = 0; i < agent_count; ++i) {
      const std::string name = "agent" + std::to_string(i);
      agents.emplace(ProcessId(name), FakeAgent(name, &runs));
    }
    for (auto& [id, agent] : agents) LinkUp(id);
  }

  static EntryOptions DefaultOptions() {
    EntryOptions options;
    options.process = ProcessId("entry1");
    options.zone = ZoneId("z1");
    return options;
  }

  static std::shared_ptr<Configuration> MakeConfiguration() {
    auto configuration = std::make_shared<Configuration>();
    configuration->revision = 1;
    configuration->zones = {{ZoneId("z1"), "r1"}, {ZoneId("z2"), "r1"}};
    configuration->services = {{ServiceId("model"), RequestKind::kGeneration},
                               {ServiceId("ledger"), RequestKind::kPlainCall}};
    configuration->workspaces = {{WorkspaceId("w1"), "", 1.0, {}}};
    configuration->rules.ranks = {
        {Rank::kUrgent, std::nullopt, ServiceId("ledger")}};
    configuration->rules.non_idempotent = {{ServiceId("ledger"), "POST", "/"}};
    return configuration;
  }

  static CallerRequest Generation(const std::string& name) {
    CallerRequest call;
    call.request = RequestId(name);
    call.workspace = WorkspaceId("w1");
    call.service = ServiceId("model");
    call.method = "POST";
    call.target = "/v1/completions";
    call.stream = true;
    call.prompt_tokens = 100;
    call.request_digest = "digest";
    return call;
  }

  // A POST must run at most once by rule; a GET may be retried.
  static CallerRequest PlainCall(const std::string& name,
                                 const std::string& method) {
    CallerRequest call = Generation(name);
    call.service = ServiceId("ledger");
    call.kind = RequestKind::kPlainCall;
    call.method = method;
    call.target = "/sales";
    call.stream = false;
    return call;
  }

  void Input(const EntryInput& input) { Apply(entry.Handle(input, now)); }

  void Advance(Duration by) {
    now += by;
    Apply(entry.Tick(now));
  }

  // Advances the time in steps. In each step the connected agents send a report
  // and all messages in flight are delivered.
  void AdvanceWithReports(Duration by,
                          Duration step = std::chrono::milliseconds(250)) {
    for (const Time end = now + by; now < end;) {
      for (const auto& [id, agent] : agents) {
        if (links.at(id)) SendFromAgent(id, agent.Report());
      }
      Advance(step);
      DeliverAll();
    }
  }

  void SendFromAgent(const ProcessId& agent, AgentToEntry message) {
    Input(AgentMessage{agent, std::move(message)});
  }

  void LinkUp(const ProcessId& id) {
    links[id] = true;
    Input(AgentConnected{id});
    SendFromAgent(id, agents.at(id).Report());
  }

  // Drops the messages on the link. The agent keeps its requests.
  void LinkDown(const ProcessId& id) {
    links[id] = false;
    agents.at(id).outbox().clear();
    Input(AgentDisconnected{id});
  }

  // Replaces the entry by a new process without its state.
  void ReplaceEntry() {
    pending_claims.clear();
    entry = EntryCore(DefaultOptions(), 2);
    Input(ConfigurationInForce{MakeConfiguration()});
    for (auto& [id, agent] : agents) {
      agent.outbox().clear();
      LinkUp(id);
    }
  }

  // Lets every agent finish all its requests while the time advances.
  void RunAll(Duration by, Duration step = std::chrono::milliseconds(250)) {
    for (const Time end = now + by; now < end;) {
      AdvanceWithReports(step, step);
      for (auto& [id, agent] : agents) {
        for (const RequestId& request : agent.Requests()) {
          agent.Finish(request);
        }
      }
      DeliverAll();
    }
  }

  bool DeliverOne(const ProcessId& id) {
    auto& outbox = agents.at(id).outbox();
    if (!links.at(id)) outbox.clear();
    if (outbox.empty()) return false;
    const AgentToEntry message = outbox.front();
    outbox.pop_front();
    SendFromAgent(id, message);
    return true;
  }

  void DeliverAll() {
    for (auto& [id, agent] : agents) {
      while (DeliverOne(id)) {
      }
    }
    ReplyToClaims();
  }

  void ReplyToClaims() {
    while (!pending_claims.empty()) {
      const ClaimBegin begin = pending_claims.front();
      pending_claims.pop_front();
      Input(ClaimReplied{begin.request, claims.Begin(begin)});
    }
  }

  // The agent that has the request, or "none".
  ProcessId AgentIdOf(const std::string& request) const {
    for (const auto& [id, agent] : agents) {
      if (agent.HasRequest(RequestId(request))) return id;
    }
    return ProcessId("none");
  }
  FakeAgent& AgentOf(const std::string& request) {
    return agents.at(AgentIdOf(request));
  }

  CallerView& Caller(const std::string& request) {
    return callers[RequestId(request)];
  }
  int Runs(const std::string& request) { return runs[RequestId(request)]; }

  EntryCore entry;
  Time now{std::chrono::seconds(1000)};
  std::map<RequestId, int> runs;
  std::map<ProcessId, FakeAgent> agents;
  std::map<ProcessId, bool> links;
  std::map<RequestId, CallerView> callers;
  std::map<Reason, int> counts;
  FakeClaims claims;
  std::deque<ClaimBegin> pending_claims;

 private:
  struct EffectVisitor {
    FakeCluster* cluster;

    void operator()(const SendToAgent& send) const {
      if (cluster->links[send.agent]) {
        cluster->agents.at(send.agent).Receive(send.message);
      }
    }
    void operator()(const DeliverToken& token) const {
      CallerView& view = cluster->callers[token.request];
      if (view.final_count > 0) ++view.tokens_after_final;
      view.tokens.push_back(token.text);
      view.indices.push_back(token.index);
    }
    void operator()(const DeliverEnd& end) const {
      CallerView& view = cluster->callers[end.request];
      view.end = end;
      ++view.final_count;
    }
    void operator()(const DeliverResponse& answer) const {
      CallerView& view = cluster->callers[answer.request];
      view.answer = answer.answer;
      ++view.final_count;
    }
    void operator()(const DeliverProblem& problem) const {
      CallerView& view = cluster->callers[problem.request];
      view.problem = problem;
      ++view.final_count;
    }
    void operator()(const BeginClaim& begin_claim) const {
      cluster->pending_claims.push_back(begin_claim.claim);
    }
    void operator()(const SettleClaim& settle) const {
      cluster->claims.Settle(settle.claim);
    }
    void operator()(const CountReason& count) const {
      ++cluster->counts[count.reason];
    }
  };

  void Apply(const std::vector<EntryEffect>& effects) {
    for (const EntryEffect& effect : effects) {
      std::visit(EffectVisitor{this}, effect);
    }
  }
};

}  // namespace coltsfootfork::testing
