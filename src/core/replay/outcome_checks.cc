#include "core/replay/outcome_checks.h"

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootfork {
namespace {

std::string FormatValue(RequestEnd end) {
  return std::string(RequestEndName(end));
}
std::string FormatValue(Reason reason) {
  return std::string(ReasonName(reason));
}
std::string FormatValue(Rank rank) { return std::string(RankName(rank)); }
std::string FormatValue(bool flag) { return flag ? "true" : "false"; }
std::string FormatValue(std::uint32_t number) { return std::to_string(number); }

// Compares the expected and the actual values of one request.
class RequestCheck {
 public:
  RequestCheck(std::string pointer, Findings* findings)
      : pointer_(std::move(pointer)), findings_(findings) {}

  template <typename Value>
  void Equal(const char* key, const std::optional<Value>& expected,
             const Value& found) const {
    if (!expected || *expected == found) return;
    findings_->Add(pointer_ + "/" + key, "states " + FormatValue(*expected) +
                                             ", found " + FormatValue(found));
  }

 private:
  std::string pointer_;
  Findings* findings_;
};

void CheckStall(const std::optional<std::chrono::milliseconds>& expected,
                const RequestHistory& history, const std::string& pointer,
                Findings* findings) {
  if (!expected || history.longest_gap <= *expected) return;
  findings->Add(pointer, "states at most " + std::to_string(expected->count()) +
                             " ms, request " + history.call.request.value() +
                             " stalls for " +
                             std::to_string(history.longest_gap.count()) +
                             " microseconds");
}

void CheckRequest(const RequestOutcome& expected, const RequestHistory& found,
                  const std::string& pointer, Findings* findings) {
  const RequestCheck check(pointer, findings);
  check.Equal("end", expected.end, found.end);
  check.Equal("tokens", expected.tokens, found.tokens);
  check.Equal("reason", expected.reason, found.reason);
  check.Equal("not_run", expected.not_run, found.not_run);
  if (expected.rank && !found.rank) {
    findings->Add(pointer + "/rank", "is stated, but nothing was handed over");
  } else if (found.rank) {
    check.Equal("rank", expected.rank, *found.rank);
  }
  check.Equal("hand_overs", expected.dispatches, found.dispatches);
  CheckStall(expected.max_stall, found, pointer + "/max_stall_ms", findings);
}

}  // namespace

void CheckOutcomes(const StreamChecks& checks, const Outcomes& outcomes,
                   Findings* findings) {
  const nlohmann::json::json_pointer requests("/requests");
  for (const auto& [id, expected] : outcomes.requests) {
    const std::string pointer = (requests / id.value()).to_string();
    const auto found = checks.requests().find(id);
    if (found == checks.requests().end()) {
      findings->Add(pointer, "is not in the trace");
      continue;
    }
    CheckRequest(expected, found->second, pointer, findings);
  }
  for (const auto& [reason, expected] : outcomes.reasons) {
    const auto found = checks.reasons().find(reason);
    const std::uint64_t count =
        found == checks.reasons().end() ? 0 : found->second;
    if (count == expected) continue;
    findings->Add("/reasons/" + FormatValue(reason),
                  "states " + std::to_string(expected) + ", counted " +
                      std::to_string(count));
  }
  for (const auto& [id, history] : checks.requests()) {
    CheckStall(outcomes.max_stall, history, "/max_stall_ms", findings);
    const auto expected = outcomes.requests.find(id);
    const bool may_be_open =
        expected != outcomes.requests.end() && expected->second.end;
    if (history.end == RequestEnd::kOpen && !may_be_open) {
      findings->Add("end of trace", "request " + id.value() + " has not ended");
    }
  }
}

}  // namespace coltsfootfork
