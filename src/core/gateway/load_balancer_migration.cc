#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "coltsfootfork/core/gateway/load_balancer.h"

// The part of LoadBalancer that chooses servers for running calls.
namespace coltsfootfork {
namespace {

// A full engine may still have memory for a migrated stream, since calls do not
// reach their predicted peaks at the same time.
constexpr double kMinMigrationTargetWeight = 0.05;
// A KV transfer to another zone takes twice as long.
constexpr double kOtherZoneWeight = 0.05;
// A server assigned to another draining engine is the last resort.
constexpr double kUnassignedServerWeight = 1e-6;
// Longer than the drain notice of an engine.
constexpr Duration kRecentDrainWindow = std::chrono::seconds(3);

// Returns a hash of the pair, uniform in (0, 1).
double UniformHash(const std::string& a, const std::string& b) {
  const std::string pair = a + '\n' + b;
  constexpr unsigned kUnusedBits = 11;
  constexpr std::uint64_t kHashRange = std::uint64_t{1} << 53U;
  const std::uint64_t hash = XXH64(pair.data(), pair.size(), 0) >> kUnusedBits;
  return (static_cast<double>(hash) + 0.5) / static_cast<double>(kHashRange);
}

// Returns the draining engine from which the server accepts migrations: one of
// its own zone if possible. All entries compute the same result.
ServerId AssignedSource(const ServerRecord& server,
                        const std::vector<ServerRecord>& draining) {
  ServerId assigned;
  double best = 0;
  for (const ServerRecord& source : draining) {
    double score = UniformHash(server.id.value(), source.id.value());
    if (source.zone == server.zone) score += 1;
    if (score <= best) continue;
    best = score;
    assigned = source.id;
  }
  return assigned;
}

}  // namespace

std::optional<ServerChoice> LoadBalancer::PickMigrationTarget(
    const ServerQuery& query, const ServerId& source, const RequestId& call,
    Time now) const {
  const std::vector<ServerRecord> draining =
      RecentlyDraining(query.service, now);
  const ServerRecord* record = Find(source);
  const ZoneId zone = record == nullptr ? ZoneId() : record->zone;
  const Server* best = nullptr;
  double best_score = 0;
  for (const Server* server : Reachable(query, now)) {
    if (query.requires_capacity && !HasCapacity(*server, query)) continue;
    const ServerId& id = server->record.id;
    const bool is_assigned = AssignedSource(server->record, draining) == source;
    const double weight = MigrationTargetWeight(*server, query, zone) *
                          (is_assigned ? 1 : kUnassignedServerWeight);
    // Weighted rendezvous hashing: the probability of a server is proportional
    // to its weight, regardless of which other servers exist.
    const double score =
        -weight / std::log(UniformHash(call.value(), id.value()));
    if (best != nullptr && score <= best_score) continue;
    best = server;
    best_score = score;
  }
  if (best == nullptr) return std::nullopt;
  return ServerChoice{best->record.id, best->record.address,
                      best->record.incarnation, true};
}

std::vector<ServerRecord> LoadBalancer::RecentlyDraining(
    const ServiceId& service, Time now) const {
  std::vector<ServerRecord> draining;
  for (const auto& [id, server] : servers_) {
    const bool is_recent = server.record.state == ServerState::kDraining &&
                           server.record.service == service &&
                           now < server.draining_since + kRecentDrainWindow;
    if (is_recent) draining.push_back(server.record);
  }
  return draining;
}

double LoadBalancer::MigrationTargetWeight(const Server& server,
                                           const ServerQuery& query,
                                           const ZoneId& zone) const {
  double weight = kMinMigrationTargetWeight;
  if (query.engine != nullptr && query.engine->memory_tokens > 0) {
    const double used = static_cast<double>(server.tokens()) /
                        static_cast<double>(query.engine->memory_tokens);
    weight = std::max(weight, 1 - used);
  }
  if (server.record.zone != zone) weight *= kOtherZoneWeight;
  const double slowness = server.slowness.At(NextBand(server));
  weight /= slowness * slowness;
  return weight;
}

}  // namespace coltsfootfork
