#include "core/replay/outcome_checks.h"

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootfork {
namespace {

std::string Word(RequestEnd end) { return std::string(RequestEndName(end)); }
std::string Word(Reason reason) { return std::string(ReasonName(reason)); }
std::string Word(Rank rank) { return std::string(RankName(rank)); }
std::string Word(bool flag) { return flag ? "true" : "false"; }
std::string Word(std::uint32_t number) { return std::to_string(number); }

// Compares the statements of one request.
class RequestCheck {
 public:
  RequestCheck(std::string pointer, Findings* findings)
      : pointer_(std::move(pointer)), findings_(findings) {}

  template <typename Value>
  void Equal(const char* key, const std::optional<Value>& stated,
             const Value& found) const {
    if (!stated || *stated == found) return;
    findings_->Add(pointer_ + "/" + key,
                   "states " + Word(*stated) + ", found " + Word(found));
  }

 private:
  std::string pointer_;
  Findings* findings_;
};

void CheckStall(const std::optional<std::chrono::milliseconds>& stated,
                const RequestHistory& history, const std::string& pointer,
                Findings* findings) {
  if (!stated || history.longest_gap <= *stated) return;
  findings->Add(pointer, "states at most " + std::to_string(stated->count()) +
                             " ms, request " + history.call.request.value() +
                             " stalls for " +
                             std::to_string(history.longest_gap.count()) +
                             " microseconds");
}

void CheckRequest(const RequestOutcome& stated, const RequestHistory& found,
                  const std::string& pointer, Findings* findings) {
  const RequestCheck check(pointer, findings);
  check.Equal("end", stated.end, found.end);
  check.Equal("tokens", stated.tokens, found.tokens);
  check.Equal("reason", stated.reason, found.reason);
  check.Equal("not_run", stated.not_run, found.not_run);
  if (stated.rank && !found.rank) {
    findings->Add(pointer + "/rank", "is stated, but nothing was handed over");
  } else if (found.rank) {
    check.Equal("rank", stated.rank, *found.rank);
  }
  check.Equal("hand_overs", stated.hand_overs, found.hand_overs);
  CheckStall(stated.max_stall, found, pointer + "/max_stall_ms", findings);
}

}  // namespace

void CheckOutcomes(const StreamChecks& checks, const Outcomes& outcomes,
                   Findings* findings) {
  const nlohmann::json::json_pointer requests("/requests");
  for (const auto& [id, stated] : outcomes.requests) {
    const std::string pointer = (requests / id.value()).to_string();
    const auto found = checks.requests().find(id);
    if (found == checks.requests().end()) {
      findings->Add(pointer, "is not in the trace");
      continue;
    }
    CheckRequest(stated, found->second, pointer, findings);
  }
  for (const auto& [reason, stated] : outcomes.reasons) {
    const auto found = checks.reasons().find(reason);
    const std::uint64_t count =
        found == checks.reasons().end() ? 0 : found->second;
    if (count == stated) continue;
    findings->Add("/reasons/" + Word(reason),
                  "states " + std::to_string(stated) + ", counted " +
                      std::to_string(count));
  }
  for (const auto& [id, history] : checks.requests()) {
    CheckStall(outcomes.max_stall, history, "/max_stall_ms", findings);
    const auto stated = outcomes.requests.find(id);
    const bool may_be_open =
        stated != outcomes.requests.end() && stated->second.end;
    if (history.end == RequestEnd::kOpen && !may_be_open) {
      findings->Add("end of trace", "request " + id.value() + " has not ended");
    }
  }
}

}  // namespace coltsfootfork
