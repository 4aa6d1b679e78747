#include "coltsfootfork/core/gateway/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace coltsfootfork {
namespace {

// Weight of the newest result in the failure ratio.
constexpr double kFailureSmoothing = 0.1;
// Load added to a server that fails all its calls.
constexpr double kFailurePenalty = 3.0;
// Weight of pending prefill relative to memory. Pending prefill always delays a
// new call; memory matters only if it fills up.
constexpr double kPendingPrefillWeight = 4;
// Sample size for this entry's zone, and again for all other zones. Two already
// spread the load well (power of two choices); three find capacity more often
// when many servers are full.
constexpr std::ptrdiff_t kSampleSize = 3;
// Headroom is allocated again after this time without load reports, since calls
// of other entries end as well.
constexpr Duration kReallocationInterval = std::chrono::milliseconds(250);
// The other entries learn of a reservation two rounds of reports later, so
// three consecutive rounds allocate the same headroom.
constexpr double kPerRoundShare = 1.0 / 3;
// Maximum calls of a plain server per slot, including its queue.
constexpr double kPlainServerCallsPerSlot = 2.0;
// Longer than entries need to subscribe again after their control process was
// lost.
constexpr Duration kEntryCountRetention = std::chrono::seconds(30);
// Servers send heartbeats about every 1.2 seconds. By then one sent after the
// end of the evacuation has arrived, and this entry knows whether the server is
// cold.
constexpr Duration kAssumedColdAfterEvacuation = std::chrono::seconds(3);

}  // namespace

LoadBalancer::LoadBalancer(const LoadBalancerOptions& options,
                           std::uint64_t seed)
    : options_(options), zone_restrictions_(options.regions), random_(seed) {}

void LoadBalancer::ApplyDirectory(const ServerDirectory& directory, Time now) {
  for (const auto& [id, entry] : directory.entries()) {
    Server& server = servers_[id];
    if (server.record.incarnation != entry.record.incarnation) {
      // Calls in flight stay counted until they end.
      const ServerLoad own = server.own;
      server = Server();
      server.own = own;
      server.warmup_until = now + entry.record.warmup_remaining;
    }
    if (entry.record.state == ServerState::kDraining &&
        server.record.state == ServerState::kReady) {
      server.draining_since = now;
    }
    server.record = entry.record;
    const Time cold_until =
        entry.last_heartbeat + entry.record.warmup_remaining;
    if (cold_until > now) MarkCold(server, cold_until, now);
  }
  for (auto server = servers_.begin(); server != servers_.end();) {
    const bool known = directory.Find(server->first) != nullptr;
    if (known || server->second.own.calls > 0) {
      ++server;
    } else {
      server = servers_.erase(server);
    }
  }
  UpdateSlowness();
}

void LoadBalancer::SetColdLimits(std::map<ServiceId, double> per_second,
                                 Time now) {
  cold_request_rate_ = std::move(per_second);
  for (auto& [id, server] : servers_) {
    const Time until = std::max(server.warmup_until, server.cold_until);
    if (now < until) MarkCold(server, until, now);
  }
}

void LoadBalancer::MarkCold(Server& server, Time until, Time now) {
  server.cold_until = until;
  const auto limit = cold_request_rate_.find(server.record.service);
  if (limit == cold_request_rate_.end()) return;
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto entries =
      is_entry_count_known_ ? std::optional(entry_count_) : std::nullopt;
  server.warmup_until = std::max(server.warmup_until, until);
  server.rate_limiter.OnCold(
      ColdInterval(limit->second, options_.cold_limit, entries), until,
      uniform(random_), now);
}

bool LoadBalancer::OnCold(const ServerId& id, std::uint64_t incarnation,
                          Duration remaining, Time now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() ||
      found->second.record.incarnation != incarnation) {
    return false;
  }
  Server& server = found->second;
  const bool was_cold = server.rate_limiter.IsCold(now);
  MarkCold(server, now + remaining, now);
  return !was_cold && server.rate_limiter.IsCold(now);
}

void LoadBalancer::SetEvacuatedZones(const std::vector<ZoneId>& zones,
                                     Time now) {
  for (auto& [id, server] : servers_) {
    const bool was_evacuated =
        zone_restrictions_.EvacuatedSince(server.record.zone).has_value();
    const bool is_evacuated = std::find(zones.begin(), zones.end(),
                                        server.record.zone) != zones.end();
    if (was_evacuated && !is_evacuated) {
      MarkCold(server, now + kAssumedColdAfterEvacuation, now);
    }
  }
  zone_restrictions_.SetEvacuated(zones, now);
}

void LoadBalancer::SetOtherEntriesLoad(FleetLoad others) {
  for (auto& [id, server] : servers_) {
    const auto found = others.find(id);
    server.other_entries = found == others.end() ? ServerLoad() : found->second;
    OnPrefills(server, server.other_entries);
  }
  headroom_allocated_at_ = Time();
}

void LoadBalancer::ReserveLoad(const ServerId& id, const ServerLoad& load) {
  Server& server = servers_[id];
  server.tokens_reserved_since_allocation += load.tokens;
  OnPrefills(server, load);
  ServerLoad& own = server.own;
  own.calls += load.calls;
  own.tokens += load.tokens;
  own.pending_prefill_tokens += load.pending_prefill_tokens;
}

void LoadBalancer::ReleaseLoad(const ServerId& id, const ServerLoad& load) {
  ServerLoad& own = servers_[id].own;
  own.calls -= std::min(own.calls, load.calls);
  own.tokens -= std::min(own.tokens, load.tokens);
  own.pending_prefill_tokens -=
      std::min(own.pending_prefill_tokens, load.pending_prefill_tokens);
}

void LoadBalancer::OnPrefillDone(const ServerId& id,
                                 std::uint64_t pending_prefill_tokens) {
  ServerLoad& own = servers_[id].own;
  own.pending_prefill_tokens -=
      std::min(own.pending_prefill_tokens, pending_prefill_tokens);
}

void LoadBalancer::OnResponse(const ServerId& id, bool failed) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  server.ejection_time = Duration(0);
  server.ejected_until = Time();
  server.failure_ratio +=
      kFailureSmoothing * ((failed ? 1.0 : 0.0) - server.failure_ratio);
}

void LoadBalancer::OnUnreachable(const ServerId& id, Time now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  // Calls that fail during the ejection do not extend it.
  if (now < server.ejected_until) return;
  server.ejection_time =
      server.ejection_time == Duration(0)
          ? options_.base_ejection_time
          : std::min(2 * server.ejection_time, options_.max_ejection_time);
  server.ejected_until = now + server.ejection_time;
}

void LoadBalancer::OnBackoffRequested(const ServerId& id,
                                      std::uint64_t incarnation, Time until) {
  const auto found = servers_.find(id);
  if (found == servers_.end() ||
      found->second.record.incarnation != incarnation) {
    return;
  }
  Server& server = found->second;
  server.backoff_until = std::max(server.backoff_until, until);
}

void LoadBalancer::SetEntryCount(std::uint32_t count, Time now) {
  if (count < entry_count_ && now < entry_count_until_) return;
  entry_count_ = count;
  is_entry_count_known_ = true;
  entry_count_until_ = now + kEntryCountRetention;
}

void LoadBalancer::OnSend(const ServerId& id, Time now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  found->second.rate_limiter.OnSend(entry_count_, now);
}

bool LoadBalancer::OnRateLimit(const ServerId& id, std::uint64_t incarnation,
                               std::optional<double> per_second, Time sent_at,
                               Time now) {
  const auto found = servers_.find(id);
  if (found == servers_.end() ||
      found->second.record.incarnation != incarnation) {
    return false;
  }
  std::uniform_real_distribution<double> uniform(0, 1);
  return found->second.rate_limiter.OnResponse(
      per_second, sent_at, uniform(random_), entry_count_, now);
}

bool LoadBalancer::IsBackingOff(const ServerId& id, Time now) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && now < found->second.backoff_until;
}

std::optional<Time> LoadBalancer::EarliestBackoffEnd(const ServerQuery& query,
                                                     Time now) const {
  std::optional<Time> first;
  for (const auto& [id, server] : servers_) {
    if (!IsEligible(server, query)) continue;
    if (now >= server.accepts_at(now)) return std::nullopt;
    first = std::min(first.value_or(server.accepts_at(now)),
                     server.accepts_at(now));
  }
  return first;
}

std::optional<ServerChoice> LoadBalancer::Pick(const ServerQuery& query,
                                               Time now) {
  if (now >= headroom_allocated_at_ + kReallocationInterval) {
    AllocateHeadroom(now);
  }
  Candidates candidates = Reachable(query, now);
  if (candidates.empty()) return std::nullopt;
  return std::visit(
      [&](const auto& policy) {
        return Choose(policy, std::move(candidates), query, now);
      },
      options_.placement);
}

ServerChoice LoadBalancer::Choose(const PowerOfDChoicesPlacement& /*policy*/,
                                  Candidates candidates,
                                  const ServerQuery& query, Time now) {
  const double urgent_fraction = UrgentFraction(candidates, query);
  const auto first_not_fitting = std::partition(
      candidates.begin(), candidates.end(), [&](const Server* server) {
        return Fits(*server, query, urgent_fraction);
      });
  const bool fits = first_not_fitting != candidates.begin();
  if (fits) candidates.erase(first_not_fitting, candidates.end());
  // Slow servers fill up last. No call waits for a faster one: with the
  // capacity of slow servers cut off, overload came earlier.
  const auto first_slow = std::partition(
      candidates.begin(), candidates.end(),
      [&](const Server* server) { return HasSpareSpeed(*server, query); });
  const bool many_are_fast =
      first_slow - candidates.begin() >= candidates.end() - first_slow;
  if (fits && many_are_fast) {
    candidates.erase(first_slow, candidates.end());
  }
  candidates = SampleCandidates(std::move(candidates));
  const Server& chosen = **std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Server* a, const Server* b) {
        return EffectiveLoad(*a, query, now) < EffectiveLoad(*b, query, now);
      });
  return {chosen.record.id, chosen.record.address, chosen.record.incarnation,
          fits};
}

LoadBalancer::Candidates LoadBalancer::SampleCandidates(Candidates candidates) {
  std::shuffle(candidates.begin(), candidates.end(), random_);
  const auto first_other_zone = std::partition(
      candidates.begin(), candidates.end(), [&](const Server* server) {
        return server->record.zone == options_.zone;
      });
  Candidates sample;
  const auto take_sample = [&](auto from, auto to) {
    const auto count = std::min<std::ptrdiff_t>(to - from, kSampleSize);
    sample.insert(sample.end(), from, from + count);
  };
  take_sample(candidates.begin(), first_other_zone);
  take_sample(first_other_zone, candidates.end());
  return sample;
}

ServerChoice LoadBalancer::Choose(const RoundRobinPlacement& /*policy*/,
                                  Candidates candidates,
                                  const ServerQuery& /*query*/, Time /*now*/) {
  const Server& chosen = *candidates[next_round_robin_++ % candidates.size()];
  return {chosen.record.id, chosen.record.address, chosen.record.incarnation,
          true};
}

ServerChoice LoadBalancer::Choose(const LeastRequestsPlacement& /*policy*/,
                                  Candidates candidates,
                                  const ServerQuery& /*query*/, Time /*now*/) {
  std::shuffle(candidates.begin(), candidates.end(), random_);
  const Server& chosen = **std::min_element(
      candidates.begin(), candidates.end(),
      [](const Server* a, const Server* b) { return a->calls() < b->calls(); });
  return {chosen.record.id, chosen.record.address, chosen.record.incarnation,
          true};
}

bool LoadBalancer::IsReadyFor(const Server& server, const ServerQuery& query) {
  return server.record.state == ServerState::kReady &&
         server.record.service == query.service &&
         query.excluded.count(server.record.id) == 0;
}

bool LoadBalancer::IsEligible(const Server& server,
                              const ServerQuery& query) const {
  return IsReadyFor(server, query) &&
         zone_restrictions_.Allows(server.record.zone, query.permitted_regions);
}

bool LoadBalancer::IsRestrictedToNoServer(const ServerQuery& query) const {
  bool has_ready_server = false;
  for (const auto& [id, server] : servers_) {
    if (!IsReadyFor(server, query)) continue;
    if (IsEligible(server, query)) return false;
    has_ready_server = true;
  }
  return has_ready_server;
}

std::optional<Time> LoadBalancer::EvacuatedSince(const ServerId& id) const {
  const ServerRecord* record = Find(id);
  if (record == nullptr) return std::nullopt;
  return zone_restrictions_.EvacuatedSince(record->zone);
}

std::vector<const LoadBalancer::Server*> LoadBalancer::Reachable(
    const ServerQuery& query, Time now) const {
  std::vector<const Server*> reachable;
  std::vector<const Server*> ejected;
  for (const auto& [id, server] : servers_) {
    if (!IsEligible(server, query) || now < server.accepts_at(now)) continue;
    (now >= server.ejected_until ? reachable : ejected).push_back(&server);
  }
  // An ejected server is better than none.
  return reachable.empty() ? ejected : reachable;
}

bool LoadBalancer::IsServing(const ServerId& id,
                             std::uint64_t incarnation) const {
  const ServerRecord* record = Find(id);
  return record != nullptr && record->incarnation == incarnation &&
         record->state == ServerState::kReady;
}

const ServerRecord* LoadBalancer::Find(const ServerId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.record;
}

FleetLoad LoadBalancer::OwnLoad() const {
  FleetLoad load;
  for (const auto& [id, server] : servers_) {
    if (server.own.calls > 0) load[id] = server.own;
  }
  return load;
}

double LoadBalancer::EffectiveLoad(const Server& server,
                                   const ServerQuery& query, Time now) const {
  const double calls = server.calls() + 1;
  const double slots = std::max<std::uint32_t>(server.record.slots, 1);
  double load = calls / slots;
  if (query.engine != nullptr && query.engine->memory_tokens > 0) {
    const auto tokens = static_cast<double>(server.tokens() + query.tokens);
    const auto pending_prefill_tokens =
        static_cast<double>(server.pending_prefill_tokens());
    load = std::max(load,
                    (tokens + kPendingPrefillWeight * pending_prefill_tokens) /
                        static_cast<double>(query.engine->memory_tokens));
  }
  load = server.slowness.ScaledLoad(load, NextBand(server));
  load += LatePauseLoad(server, query, load);
  load += kFailurePenalty * server.failure_ratio;
  if (server.record.zone != options_.zone) load += options_.other_zone_penalty;
  if (now < server.warmup_until) load += options_.warmup_penalty;
  return load;
}

double LoadBalancer::MemoryLimit(const ServerQuery& query) const {
  return query.max_fill * options_.memory_share *
         static_cast<double>(query.engine->memory_tokens);
}

bool LoadBalancer::Fits(const Server& server, const ServerQuery& query,
                        double urgent_fraction) const {
  if (query.engine == nullptr) {
    return server.calls() < kPlainServerCallsPerSlot * server.record.slots;
  }
  return HasCapacity(server, query) &&
         FitsHeadroomShare(server, query, urgent_fraction);
}

bool LoadBalancer::HasCapacity(const Server& server,
                               const ServerQuery& query) const {
  if (server.calls() >= server.record.slots) return false;
  const auto tokens = static_cast<double>(server.tokens() + query.tokens);
  return tokens <= MemoryLimit(query);
}

bool LoadBalancer::FitsHeadroomShare(const Server& server,
                                     const ServerQuery& query,
                                     double urgent_fraction) const {
  if (query.tokens == 0) return true;
  if (query.headroom_share.share >= 1 && urgent_fraction == 0) return true;
  const double share =
      query.headroom_share.share * kPerRoundShare * (1 - urgent_fraction);
  const double free = std::max(
      MemoryLimit(query) - static_cast<double>(server.tokens_at_allocation),
      0.0);
  const auto call_tokens = static_cast<double>(query.tokens);
  // Stochastic rounding to whole calls.
  const double calls =
      std::floor(free * share / call_tokens + server.rounding_offset);
  return static_cast<double>(server.tokens_reserved_since_allocation) +
             call_tokens <=
         calls * call_tokens;
}

double LoadBalancer::UrgentFraction(const std::vector<const Server*>& servers,
                                    const ServerQuery& query) const {
  if (query.engine == nullptr || query.headroom_share.urgent_tokens == 0) {
    return 0;
  }
  double free = 0;
  for (const Server* server : servers) {
    free += std::max(MemoryLimit(query) - static_cast<double>(server->tokens()),
                     0.0);
  }
  const auto urgent = static_cast<double>(query.headroom_share.urgent_tokens);
  return urgent >= free ? 1 : urgent / free;
}

void LoadBalancer::AllocateHeadroom(Time now) {
  std::uniform_real_distribution<double> uniform(0, 1);
  for (auto& [id, server] : servers_) {
    server.tokens_at_allocation = server.tokens();
    server.tokens_reserved_since_allocation = 0;
    server.rounding_offset = uniform(random_);
  }
  headroom_allocated_at_ = now;
  const bool expired = std::visit(
      [&](auto& policy) { return policy.Expire(now); }, options_.performance);
  if (expired) UpdateSlowness();
}

}  // namespace coltsfootfork
