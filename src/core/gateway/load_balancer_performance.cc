#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

#include "coltsfootfork/core/gateway/load_balancer.h"

// The part of LoadBalancer that weighs servers by their performance.
namespace coltsfootfork {
namespace {

// The first event of a shorter prompt takes as long as a step, which is no
// prefill time.
constexpr std::uint64_t kMinMeasuredPromptTokens = 256;
// A longer time is no prefill: the engine did not run.
constexpr Duration kMaxMeasuredPrefill = std::chrono::seconds(30);
// A stream that would have so many late pauses because of the server runs
// elsewhere if it can: one in ten misses its pause goal.
constexpr double kAvoidedLatePauses = 0.1;
// Load added for a stream that would surely miss its goal, as of a full server.
// With half of it, more long streams were late in server_latency_load_test.
constexpr double kLatePausePenalty = 1.0;
// Calls with fewer events have few pauses to be late.
constexpr std::uint64_t kFewEvents = 16;
// A stream whose risk decides whether short calls prefer a server.
constexpr std::uint64_t kTypicalLongStream = 200;
// Load by which servers that long streams avoid are preferred for short calls:
// as much as the entry's own zone. These servers are the emptiest anyway.
constexpr double kShortCallPreference = 0.1;
// The preference ends at this load, so that the rest is left to long streams
// when these servers are the only ones with capacity.
constexpr double kMaxPreferredLoad = 0.6;
// Shown as slow in the metrics; as for pauses.
constexpr double kSlowPrefill = 1.35;

}  // namespace

void LoadBalancer::SetPerformance(const EncodedPauses& changes, Time now) {
  std::visit([&](auto& policy) { policy.Apply(changes, now); },
             options_.performance);
  if (!changes.empty()) UpdateSlowness();
}

void LoadBalancer::SetLatencies(const EncodedLatencies& changes) {
  if (changes.empty()) return;
  std::visit([&](auto& policy) { policy.ApplyLatencies(changes); },
             options_.performance);
  UpdateSlowness();
}

Duration LoadBalancer::PrefillTimePerToken(const ServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? kAssumedPrefillPerToken
                                 : PrefillTimePerToken(found->second);
}

void LoadBalancer::OnPrefills(Server& server, const ServerLoad& load) {
  if (load.pending_prefill_tokens > 0) server.last_prefill = ++last_prefill_;
}

std::optional<PrefillMeasurement> LoadBalancer::StartPrefillMeasurement(
    const ServerId& id, std::uint64_t prompt_tokens, Time now) const {
  if (std::holds_alternative<IgnorePerformance>(options_.performance)) {
    return std::nullopt;
  }
  const auto found = servers_.find(id);
  if (found == servers_.end()) return std::nullopt;
  const Server& server = found->second;
  const bool is_alone = server.pending_prefill_tokens() == prompt_tokens;
  // A call beyond the server's slots waits for one, and a cold server is slow
  // for a while only.
  const bool is_comparable = prompt_tokens >= kMinMeasuredPromptTokens &&
                             server.calls() <= server.record.slots &&
                             now >= server.warmup_until;
  if (!is_alone || !is_comparable) return std::nullopt;
  return PrefillMeasurement{id, server.record.incarnation, prompt_tokens, now,
                            server.last_prefill};
}

std::optional<LatencySum> LoadBalancer::FinishPrefillMeasurement(
    const PrefillMeasurement& measurement, Time now) const {
  const auto found = servers_.find(measurement.server);
  const Duration taken = now - measurement.sent_at;
  if (found == servers_.end() || taken > kMaxMeasuredPrefill ||
      found->second.record.incarnation != measurement.incarnation ||
      found->second.last_prefill != measurement.last_prefill) {
    return std::nullopt;
  }
  LatencySum sum;
  sum.calls = 1;
  sum.prompt_tokens = measurement.prompt_tokens;
  sum.milliseconds = static_cast<std::uint64_t>(
      std::chrono::round<std::chrono::milliseconds>(taken).count());
  return sum;
}

void LoadBalancer::UpdateSlowness() {
  if (std::holds_alternative<IgnorePerformance>(options_.performance)) return;
  std::vector<PerformanceSubject> subjects;
  subjects.reserve(servers_.size());
  for (auto& [id, server] : servers_) {
    const ServerRecord& record = server.record;
    subjects.push_back({PerformanceKeyOf(id, record.incarnation),
                        record.service, &server.slowness});
  }
  std::visit([&](const auto& policy) { policy.Update(subjects); },
             options_.performance);
}

OccupancyBand LoadBalancer::BandOfServer(const ServerId& id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return OccupancyBand::kBelowHalf;
  return BandOf(found->second.calls(), found->second.record.slots);
}

std::size_t LoadBalancer::SlowServers() const {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
        const Slowness& slowness = entry.second.slowness;
        return std::max(slowness.by_band[0], slowness.by_band[1]) > 1;
      }));
}

std::size_t LoadBalancer::SlowPrefillServers() const {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
        return entry.second.slowness.prefill > kSlowPrefill;
      }));
}

std::size_t LoadBalancer::LatePauseServers() const {
  return static_cast<std::size_t>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
        return entry.second.slowness.ExcessLatePauses(kTypicalLongStream) >
               kAvoidedLatePauses;
      }));
}

double LoadBalancer::LatePauseLoad(const Server& server,
                                   const ServerQuery& query, double load) {
  if (query.engine == nullptr) return 0;
  const Slowness& slowness = server.slowness;
  if (query.predicted_events >= kFewEvents) {
    if (!query.has_pause_goal) return 0;
    return kLatePausePenalty * slowness.LatePauseRisk(query.predicted_events);
  }
  // Their prefills take long as well, and would queue behind each other.
  if (server.pending_prefill_tokens() > 0) return 0;
  const double spare = std::max(0.0, 1 - load / kMaxPreferredLoad);
  return -kShortCallPreference * spare *
         slowness.LatePauseRisk(kTypicalLongStream);
}

bool LoadBalancer::HasSpareSpeed(const Server& server,
                                 const ServerQuery& query) const {
  if (query.has_pause_goal && query.predicted_events >= kFewEvents &&
      server.slowness.ExcessLatePauses(query.predicted_events) >
          kAvoidedLatePauses) {
    return false;
  }
  const double divisor = server.slowness.CapacityDivisor(NextBand(server));
  if (server.calls() == 0 || divisor == 1 || query.engine == nullptr) {
    return true;
  }
  const auto tokens = static_cast<double>(server.tokens() + query.tokens);
  return server.calls() * divisor < server.record.slots &&
         tokens * divisor <= MemoryLimit(query);
}

}  // namespace coltsfootfork
