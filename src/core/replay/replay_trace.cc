#include "coltsfootfork/core/replay/replay_trace.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <variant>
#include <vector>

#include "coltsfootfork/core/routing/entry_core.h"
#include "core/replay/body_digest.h"
#include "core/replay/outcome_checks.h"
#include "core/replay/stream_checks.h"
#include "core/replay/trace_codec.h"
#include "core/replay/trace_reader.h"

namespace coltsfootfork {
namespace {

// One pass over a trace: feeds the inputs to the core and compares its effects
// with the recorded effects.
class Replay {
 public:
  Replay(const TraceHeader& header, bool same_effects, Findings* findings)
      : core_(header.options, header.seed),
        whole_bodies_(header.whole_bodies),
        same_effects_(same_effects),
        findings_(findings),
        checks_(findings) {}

  void Process(const TraceLine& line) {
    line_ = &line;
    place_ = LinePlace(line.number);
    std::visit([this](const auto& content) { Process(content); }, line.content);
  }

  // Called after the last line.
  void Finish() { ReportMissingEffects(); }

  const StreamChecks& checks() const { return checks_; }
  std::size_t inputs() const { return inputs_; }
  std::size_t effects() const { return effects_; }

 private:
  void Process(const EntryInput& input) {
    StartStep();
    checks_.OnInput(input, place_);
    AddExpectedEffects(core_.Handle(input, line_->at));
  }

  void Process(const TraceTick& /*tick*/) {
    StartStep();
    AddExpectedEffects(core_.Tick(line_->at));
  }

  // Where both must be the same, the recorded effects are checked instead of
  // the replayed ones, because the recorded effects are what the callers
  // received.
  void Process(const EntryEffect& recorded) {
    if (!same_effects_) return;
    CheckEffect(recorded);
    EntryEffect comparable = recorded;
    if (!whole_bodies_) DropJoinedBody(&comparable);
    const std::string text = ToJsonText(comparable);
    if (!expected_.empty() && expected_.front() == text) {
      expected_.pop_front();
      return;
    }
    findings_->Add(place_, "the core does not do this now: " + text);
  }

  void StartStep() {
    ReportMissingEffects();
    ++inputs_;
    step_place_ = place_;
  }

  void AddExpectedEffects(std::vector<EntryEffect> effects) {
    for (EntryEffect& effect : effects) {
      if (!same_effects_) {
        CheckEffect(effect);
        continue;
      }
      if (!whole_bodies_) DropJoinedBody(&effect);
      expected_.push_back(ToJsonText(effect));
    }
  }

  static std::string ToJsonText(const EntryEffect& effect) {
    using nlohmann::json;
    return EffectToJson(effect).dump(-1, ' ', false,
                                     json::error_handler_t::replace);
  }

  void CheckEffect(const EntryEffect& effect) {
    ++effects_;
    checks_.OnEffect(effect, line_->at, place_);
  }

  void ReportMissingEffects() {
    for (const std::string& text : expected_) {
      findings_->Add(step_place_, "the core also does this now: " + text);
    }
    expected_.clear();
  }

  EntryCore core_;
  bool whole_bodies_;
  bool same_effects_;
  Findings* findings_;
  StreamChecks checks_;
  const TraceLine* line_ = nullptr;
  std::string place_;
  // The place of the input or tick that produced the expected effects.
  std::string step_place_;
  std::deque<std::string> expected_;
  std::size_t inputs_ = 0;
  std::size_t effects_ = 0;
};

std::string Summarise(const StreamChecks& checks) {
  std::string text;
  for (const auto& [id, history] : checks.requests()) {
    text += id.value() + ": " + std::string(RequestEndName(history.end));
    if (history.reason != Reason::kNone) {
      text += " " + std::string(ReasonName(history.reason)) +
              (history.not_run ? " (not run)" : "");
    }
    text += ", tokens " + std::to_string(history.tokens) + ", hand-overs " +
            std::to_string(history.dispatches) + ", longest gap " +
            std::to_string(ToMilliseconds(history.longest_gap)) + " ms\n";
  }
  return text;
}

}  // namespace

std::string ReplayReport::ToText() const {
  return summary + findings.ToText() + std::to_string(inputs) + " inputs, " +
         std::to_string(effects) + " effects, " +
         std::to_string(findings.list().size()) + " findings\n";
}

ReplayReport ReplayTrace(std::istream& trace, const Outcomes& outcomes) {
  ReplayReport report;
  TraceReader reader(trace, &report.findings);
  const auto header = reader.ReadHeader();
  if (!header) return report;
  Replay replay(*header, outcomes.same_effects, &report.findings);
  while (const auto line = reader.ReadLine()) replay.Process(*line);
  replay.Finish();
  CheckOutcomes(replay.checks(), outcomes, &report.findings);
  report.inputs = replay.inputs();
  report.effects = replay.effects();
  report.summary = Summarise(replay.checks());
  return report;
}

}  // namespace coltsfootfork
