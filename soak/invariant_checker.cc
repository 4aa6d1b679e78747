#include "soak/invariant_checker.h"

#include <algorithm>
#include <sstream>

namespace coltsfootfork {
namespace {

constexpr int kOk = 200;

// These statuses guarantee that a call has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void InvariantChecker::AddFinding(const std::string& call,
                                  const std::string& what) {
  findings_.push_back(call + ": " + what);
}

void InvariantChecker::OnResponse(const std::string& call, SoakKind kind,
                                  const ObservedResponse& observed) {
  kinds_[call] = kind;
  ++responses_;
  // A stream that began before the entry was stopped may outlast it.
  const bool excused = observed.status && !observed.sent_to_stopping;
  if (planned_ && !observed.complete && !observed.timed_out && !excused) {
    cut_off_.insert(call);
  }
  if (!observed.status) return;
  if (PromisesNotRun(*observed.status)) refused_[call] = *observed.status;
  if (*observed.status == kOk) CheckSuccess(call, kind, observed);
}

void InvariantChecker::CheckSuccess(const std::string& call, SoakKind kind,
                                    const ObservedResponse& observed) {
  if (observed.complete) ++served_;
  if (observed.call != call) {
    AddFinding(call, "got the answer of " + observed.call);
  }
  if (observed.signature.empty()) {
    AddFinding(call, "a success without a signature");
  }
  if (IsStream(kind)) return CheckStream(call, observed);
  const std::string end = " for " + call;
  const bool ends =
      observed.body.size() > end.size() &&
      observed.body.substr(observed.body.size() - end.size()) == end;
  if (observed.complete && !ends) {
    AddFinding(call, "another body: " + observed.body);
  }
}

void InvariantChecker::CheckStream(const std::string& call,
                                   const ObservedResponse& observed) {
  std::istringstream lines(observed.body);
  int events = 0;
  for (std::string line; std::getline(lines, line);) {
    // The last line of an aborted stream may be truncated.
    if (lines.eof()) break;
    if (line.rfind("id: ", 0) == 0 &&
        line.substr(4) != std::to_string(++events)) {
      return AddFinding(
          call, "event " + line + " in place " + std::to_string(events));
    }
    if (line.rfind("data: ", 0) == 0 && line.substr(6) != call) {
      return AddFinding(call, "an event of another call: " + line);
    }
  }
  if (observed.complete && events != events_) {
    AddFinding(call,
               "looks complete with " + std::to_string(events) + " events");
  }
}

void InvariantChecker::OnPlanAcknowledged(std::uint64_t version) {
  accepted_ = std::max(accepted_, version);
}

void InvariantChecker::OnPlanRead(std::uint64_t accepted_before,
                                  std::uint64_t version) {
  if (version >= accepted_before) return;
  AddFinding("plan", "read " + std::to_string(version) + " after " +
                         std::to_string(accepted_before) + " was acknowledged");
}

void InvariantChecker::OnRuns(const std::map<std::string, int>& runs) {
  for (const auto& [call, count] : runs) runs_[call] += count;
}

void InvariantChecker::CheckRuns() {
  for (const auto& [call, count] : runs_) {
    if (cut_off_.count(call) != 0) AddFinding(call, "ran and was cut off");
    const auto kind = kinds_.find(call);
    const bool may_run_again = kind == kinds_.end() ||
                               kind->second == SoakKind::kRead ||
                               kind->second == SoakKind::kResumableStream;
    if (may_run_again) continue;
    if (count > 1) AddFinding(call, "ran " + std::to_string(count) + " times");
    const auto refused = refused_.find(call);
    if (refused == refused_.end()) continue;
    AddFinding(
        call, "was refused, and ran (" + std::to_string(refused->second) + ")");
  }
}

}  // namespace coltsfootfork
