#include "core/replay/stream_checks.h"

#include <algorithm>
#include <variant>

namespace coltsfootfork {

struct StreamChecks::InputVisitor {
  StreamChecks* checks;
  const std::string& place;

  void operator()(const CallerRequest& call) const {
    const auto [position, added] = checks->requests_.try_emplace(call.request);
    if (!added) checks->Report(place, call.request, "is asked for twice");
    position->second.call = call;
    if (checks->rules_ != nullptr) {
      position->second.required_rank =
          checks->rules_->RankOf(call.workspace, call.service);
    }
  }
  void operator()(const CallerDisconnected& disconnected) const {
    RequestHistory* history = checks->Find(disconnected.request);
    if (history != nullptr && history->end == RequestEnd::kOpen) {
      history->end = RequestEnd::kCallerDisconnected;
    }
  }
  void operator()(const ConfigurationInForce& in_force) const {
    const Revision revision = in_force.configuration->revision;
    if (revision < checks->revision_) {
      checks->findings_->Add(place, "the revision goes down from " +
                                        std::to_string(checks->revision_) +
                                        " to " + std::to_string(revision));
    }
    checks->revision_ = revision;
    checks->rules_ = std::make_unique<ServingRules>(in_force.configuration);
  }
  void operator()(const ClaimReplied& claim_reply) const {
    RequestHistory* history = checks->Find(claim_reply.request);
    if (history == nullptr) return;
    history->claim_granted =
        claim_reply.reply.verdict == ClaimVerdict::kGranted;
    history->is_stored_response =
        claim_reply.reply.verdict == ClaimVerdict::kDone;
  }
  void operator()(const AgentMessage& message) const {
    std::visit(*this, message.message);
  }
  void operator()(const TokenFrame& frame) const {
    RequestHistory* history = checks->Find(frame.request);
    if (history == nullptr) return;
    // A second frame with the same index is a duplicate and is ignored.
    history->frames.try_emplace({frame.generation, frame.index}, frame.text);
    if (history->tokens == 0) {
      history->source_generations.insert(frame.generation);
    }
  }
  void operator()(const RequestRefused& refused) const {
    RequestHistory* history = checks->Find(refused.request);
    if (history != nullptr && history->tokens == 0) {
      history->may_have_run.erase(refused.generation);
    }
  }
  template <typename Other>
  void operator()(const Other& /*other*/) const {}
};

struct StreamChecks::EffectVisitor {
  StreamChecks* checks;
  Time at;
  const std::string& place;

  void operator()(const DeliverToken& token) const {
    RequestHistory* history = checks->FindOrReport(token.request, place);
    if (history == nullptr) return;
    if (history->end != RequestEnd::kOpen) {
      checks->Report(place, token.request, "gets a token after its end");
    }
    if (history->is_stored_response) {
      ++history->tokens;
      return;
    }
    CheckIndex(token, *history);
    CheckSource(token, history);
    if (history->last_token) {
      history->longest_gap =
          std::max(history->longest_gap, at - *history->last_token);
    }
    history->last_token = at;
    history->tokens = std::max(history->tokens, token.index + 1);
  }

  void operator()(const DeliverEnd& end) const {
    RequestHistory* history = checks->FindOrReport(end.request, place);
    if (history == nullptr) return;
    if (!checks->RecordEnd(history, RequestEnd::kComplete, place)) return;
    if (history->is_stored_response || end.token_count == history->tokens) {
      return;
    }
    checks->Report(place, end.request,
                   "ends as whole with " + std::to_string(history->tokens) +
                       " of " + std::to_string(end.token_count) + " tokens");
  }

  void operator()(const DeliverResponse& answer) const {
    RequestHistory* history = checks->FindOrReport(answer.request, place);
    if (history != nullptr) {
      checks->RecordEnd(history, RequestEnd::kResponse, place);
    }
  }

  void operator()(const DeliverProblem& problem) const {
    RequestHistory* history = checks->FindOrReport(problem.request, place);
    if (history == nullptr) return;
    if (!checks->RecordEnd(history, RequestEnd::kProblem, place)) return;
    history->reason = problem.reason;
    history->not_run = problem.not_run;
    if (problem.not_run && !history->may_have_run.empty()) {
      checks->Report(place, problem.request,
                     "is refused as not run although a hand-over may have run");
    }
    if (problem.not_run && history->tokens > 0) {
      checks->Report(place, problem.request,
                     "is refused as not run after it got tokens");
    }
  }

  void operator()(const SendToAgent& send) const {
    const auto* dispatch = std::get_if<Dispatch>(&send.message);
    if (dispatch == nullptr) return;
    RequestHistory* history = checks->FindOrReport(dispatch->request, place);
    if (history == nullptr) return;
    CheckRank(*dispatch, history);
    // A resumption continues a run that was dispatched earlier.
    if (dispatch->first_index > 0) return;
    CheckAtMostOnce(*dispatch, *history);
    ++history->dispatches;
    history->may_have_run.insert(dispatch->generation);
  }

  void operator()(const BeginClaim& begin_claim) const {
    RequestHistory* history = checks->FindOrReport(begin_claim.request, place);
    if (history != nullptr) history->claim_requested = true;
  }
  void operator()(const SettleClaim& /*settle*/) const {}
  void operator()(const CountReason& count) const {
    ++checks->reasons_[count.reason];
  }

 private:
  void CheckIndex(const DeliverToken& token,
                  const RequestHistory& history) const {
    if (token.index == history.tokens) return;
    checks->Report(place, token.request,
                   token.index < history.tokens
                       ? "gets token " + std::to_string(token.index) + " twice"
                       : "gets token " + std::to_string(token.index) +
                             " before token " + std::to_string(history.tokens));
  }

  void CheckSource(const DeliverToken& token, RequestHistory* history) const {
    std::set<Generation> source_generations;
    for (const Generation generation : history->source_generations) {
      const auto frame = history->frames.find({generation, token.index});
      if (frame != history->frames.end() && frame->second == token.text) {
        source_generations.insert(generation);
      }
    }
    if (source_generations.empty()) {
      checks->Report(place, token.request,
                     "gets token " + std::to_string(token.index) +
                         " from no generation that its earlier tokens are of");
      return;
    }
    history->source_generations = std::move(source_generations);
  }

  void CheckRank(const Dispatch& dispatch, RequestHistory* history) const {
    history->rank = dispatch.rank;
    if (!history->required_rank) {
      checks->Report(place, dispatch.request,
                     "is handed over without a configuration in force");
    } else if (dispatch.rank != *history->required_rank) {
      checks->Report(place, dispatch.request, "has not the rank of the rules");
    }
  }

  void CheckAtMostOnce(const Dispatch& dispatch,
                       const RequestHistory& history) const {
    if (dispatch.non_idempotent && !history.may_have_run.empty()) {
      checks->Report(place, dispatch.request,
                     "is handed over again although it may have run");
    }
    if (history.claim_requested && !history.claim_granted) {
      checks->Report(place, dispatch.request,
                     "is handed over before its claim is granted");
    }
    if (dispatch.non_idempotent && !history.call.idempotency_key.empty() &&
        !history.claim_requested) {
      checks->Report(place, dispatch.request, "is handed over without a claim");
    }
  }
};

void StreamChecks::OnInput(const EntryInput& input, const std::string& place) {
  std::visit(InputVisitor{this, place}, input);
}

void StreamChecks::OnEffect(const EntryEffect& effect, Time at,
                            const std::string& place) {
  std::visit(EffectVisitor{this, at, place}, effect);
}

RequestHistory* StreamChecks::Find(const RequestId& request) {
  const auto position = requests_.find(request);
  return position == requests_.end() ? nullptr : &position->second;
}

RequestHistory* StreamChecks::FindOrReport(const RequestId& request,
                                           const std::string& place) {
  RequestHistory* history = Find(request);
  if (history != nullptr) return history;
  Report(place, request, "was never asked for");
  return nullptr;
}

void StreamChecks::Report(const std::string& place, const RequestId& request,
                          const std::string& problem) {
  findings_->Add(place, "request " + request.value() + " " + problem);
}

bool StreamChecks::RecordEnd(RequestHistory* history, RequestEnd end,
                             const std::string& place) {
  if (history->end != RequestEnd::kOpen) {
    Report(place, history->call.request, "gets a second final answer");
    return false;
  }
  history->end = end;
  return true;
}

}  // namespace coltsfootfork
