#include "coltsfootfork/core/gateway/prompt_quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootfork {
namespace {

// Two engines may crash by chance under requests with the same rare part; three
// in a row hardly do.
constexpr std::size_t kCrashesToQuarantine = 3;
// For a part on which responses were written before.
constexpr std::size_t kCrashesAfterSurvival = 6;
constexpr std::size_t kCrashesToSuspect = 2;
// Then the part is tried again, and one more crash renews the quarantine.
constexpr Duration kQuarantineTime = std::chrono::minutes(5);
constexpr std::size_t kMaxSurvivals = 2048;

std::size_t ThresholdOf(const CrashLedger::History& history) {
  return history.survived_at ? kCrashesAfterSurvival : kCrashesToQuarantine;
}

// Returns the number of the part's crashes in which the other part was not.
std::size_t CrashesWithout(const CrashLedger::History& part,
                           const CrashLedger::History& other) {
  return static_cast<std::size_t>(std::count_if(
      part.crashes.begin(), part.crashes.end(), [&](const auto& crash) {
        return other.crashes.count(crash.first) == 0;
      }));
}

}  // namespace

void PromptQuarantine::OnCrash(const std::vector<PartKey>& parts,
                               CrashKey crash, Time now) {
  ledger_.Expire(now);
  for (const PartKey part : parts) {
    ledger_.AddCrash(part, crash, now, now);
    if (const auto survived_at = FindSurvival(part)) {
      ledger_.AddSurvival(part, *survived_at);
    }
  }
}

void PromptQuarantine::OnSurvival(const std::vector<PartKey>& parts, Time now) {
  for (const PartKey part : parts) {
    if (survivals_.size() >= kMaxSurvivals) {
      older_survivals_ = std::exchange(survivals_, {});
    }
    survivals_[part] = now;
    const CrashLedger::History* history = ledger_.Find(part);
    if (history != nullptr && !history->crashes.empty()) {
      ledger_.AddSurvival(part, now);
    }
  }
}

std::optional<PromptQuarantine::Verdict> PromptQuarantine::FindQuarantined(
    const std::vector<PartKey>& parts, Time now) const {
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const CrashLedger::History* history = ledger_.Find(parts[i]);
    if (history == nullptr) continue;
    const auto end = EndOf(*history, now);
    if (!end || !IsBlamed(parts[i], *history, parts, now)) continue;
    Verdict verdict{{}, history->crashes.size(), *end - now};
    for (std::size_t j = 0; j < parts.size(); ++j) {
      const CrashLedger::History* other = ledger_.Find(parts[j]);
      const bool has_same_crashes = other != nullptr &&
                                    other->crashes.size() == verdict.crashes &&
                                    CrashesWithout(*other, *history) == 0;
      if (has_same_crashes) verdict.parts.push_back(j);
    }
    return verdict;
  }
  return std::nullopt;
}

bool PromptQuarantine::IsBlamed(PartKey part,
                                const CrashLedger::History& history,
                                const std::vector<PartKey>& parts,
                                Time now) const {
  for (const auto& [other, other_history] : ledger_.parts()) {
    if (other == part || !EndOf(other_history, now)) continue;
    if (other_history.crashes.size() < history.crashes.size()) continue;
    const std::size_t unexplained = CrashesWithout(history, other_history);
    if (unexplained >= ThresholdOf(history)) continue;
    const bool has_same_crashes =
        unexplained == 0 &&
        other_history.crashes.size() == history.crashes.size();
    const bool is_in_call =
        std::find(parts.begin(), parts.end(), other) != parts.end();
    if (!has_same_crashes || !is_in_call) return false;
  }
  return true;
}

bool PromptQuarantine::IsSuspect(const std::vector<PartKey>& parts,
                                 Time now) const {
  return std::any_of(parts.begin(), parts.end(), [&](PartKey part) {
    const CrashLedger::History* history = ledger_.Find(part);
    return history != nullptr && !history->survived_at &&
           history->crashes.size() >= kCrashesToSuspect &&
           now < LastCrash(*history) + kQuarantineTime;
  });
}

std::size_t PromptQuarantine::Size(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      ledger_.parts().begin(), ledger_.parts().end(),
      [&](const auto& part) { return EndOf(part.second, now).has_value(); }));
}

void PromptQuarantine::Merge(const EncodedCrashes& crashes, Time now) {
  ledger_.Merge(crashes, now);
  ledger_.Expire(now);
  std::vector<std::pair<PartKey, Time>> survivals;
  for (const auto& [part, history] : ledger_.parts()) {
    const auto survived_at = FindSurvival(part);
    if (survived_at) survivals.emplace_back(part, *survived_at);
  }
  for (const auto& [part, at] : survivals) ledger_.AddSurvival(part, at);
}

std::optional<Time> PromptQuarantine::EndOf(const CrashLedger::History& history,
                                            Time now) {
  if (history.crashes.size() < ThresholdOf(history)) return std::nullopt;
  const Time end = LastCrash(history) + kQuarantineTime;
  if (now >= end) return std::nullopt;
  return end;
}

std::optional<Time> PromptQuarantine::FindSurvival(PartKey part) const {
  for (const auto* survivals : {&survivals_, &older_survivals_}) {
    const auto found = survivals->find(part);
    if (found != survivals->end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace coltsfootfork
