#include "coltsfootfork/core/fleet/crash_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace coltsfootfork {
namespace {

// How long a part is remembered after its last crash.
constexpr Duration kRetention = std::chrono::minutes(10);
// Few parts crash engines. The others are those of the requests that began at
// the same time.
constexpr std::size_t kMaxParts = 256;
// More than a fleet sees of a part before it has learned to refuse it.
constexpr std::size_t kMaxCrashesPerPart = 32;
constexpr std::size_t kNumbersPerRecord = 3;
constexpr CrashKey kSurvival = 0;

std::uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

// Returns the second oldest crash of a part with at least two.
CrashKey SecondCrash(const CrashLedger::History& history) {
  std::vector<std::pair<Time, CrashKey>> by_time;
  for (const auto& [crash, at] : history.crashes) {
    by_time.push_back({at, crash});
  }
  std::sort(by_time.begin(), by_time.end());
  return by_time[1].second;
}

}  // namespace

PartKey PartKeyOf(const ServiceId& service, const std::string& part) {
  return HashOf(service.value() + '\n' + part);
}

CrashKey CrashKeyOf(const ServerId& server, std::uint64_t incarnation) {
  const CrashKey key =
      HashOf(server.value() + '\n' + std::to_string(incarnation));
  return key == kSurvival ? 1 : key;
}

Time LastCrash(const CrashLedger::History& history) {
  Time last;
  for (const auto& [crash, at] : history.crashes) {
    last = std::max(last, at);
  }
  return last;
}

void CrashLedger::AddCrash(PartKey part, CrashKey crash, Time at, Time now) {
  if (now >= at + kRetention) return;
  if (parts_.count(part) == 0 && parts_.size() >= kMaxParts) {
    EvictLeastSuspect();
  }
  History& history = parts_[part];
  if (history.survived_at && at <= *history.survived_at) return;
  if (!history.crashes.emplace(crash, at).second) return;
  if (history.crashes.size() > kMaxCrashesPerPart) {
    const CrashKey second = SecondCrash(history);
    history.crashes.erase(second);
    if (second == crash) return;
  }
  history.revision = ++revision_;
}

void CrashLedger::AddSurvival(PartKey part, Time at) {
  const auto found = parts_.find(part);
  if (found == parts_.end()) return;
  History& history = found->second;
  if (history.survived_at && at <= *history.survived_at) return;
  history.survived_at = at;
  for (auto crash = history.crashes.begin(); crash != history.crashes.end();) {
    crash = crash->second <= at ? history.crashes.erase(crash) : ++crash;
  }
  history.revision = ++revision_;
}

void CrashLedger::Merge(const EncodedCrashes& numbers, Time now) {
  if (numbers.size() % kNumbersPerRecord != 0) return;
  for (std::size_t i = 0; i < numbers.size(); i += kNumbersPerRecord) {
    const auto retention_ms =
        static_cast<std::uint64_t>(ToMilliseconds(kRetention));
    const std::chrono::milliseconds age(std::min(numbers[i + 2], retention_ms));
    if (numbers[i + 1] == kSurvival) {
      AddSurvival(numbers[i], now - age);
    } else {
      AddCrash(numbers[i], numbers[i + 1], now - age, now);
    }
  }
}

EncodedCrashes CrashLedger::Encode(std::uint64_t since_revision,
                                   Time now) const {
  EncodedCrashes numbers;
  const auto add = [&](PartKey part, CrashKey crash, Time at) {
    const auto age = std::max<std::int64_t>(ToMilliseconds(now - at), 0);
    numbers.insert(numbers.end(),
                   {part, crash, static_cast<std::uint64_t>(age)});
  };
  for (const auto& [part, history] : parts_) {
    if (history.revision <= since_revision) continue;
    for (const auto& [crash, at] : history.crashes) {
      add(part, crash, at);
    }
    if (history.survived_at) add(part, kSurvival, *history.survived_at);
  }
  return numbers;
}

void CrashLedger::Expire(Time now) {
  for (auto part = parts_.begin(); part != parts_.end();) {
    const History& history = part->second;
    const Time last =
        std::max(LastCrash(history), history.survived_at.value_or(Time()));
    part = now >= last + kRetention ? parts_.erase(part) : ++part;
  }
}

const CrashLedger::History* CrashLedger::Find(PartKey part) const {
  const auto found = parts_.find(part);
  return found == parts_.end() ? nullptr : &found->second;
}

void CrashLedger::EvictLeastSuspect() {
  const auto least = std::min_element(
      parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const History& history) {
          return std::make_pair(history.crashes.size(), LastCrash(history));
        };
        return rank(a.second) < rank(b.second);
      });
  parts_.erase(least);
}

}  // namespace coltsfootfork
