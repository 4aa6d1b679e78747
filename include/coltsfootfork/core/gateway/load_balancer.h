#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/gateway/cold_limit.h"
#include "coltsfootfork/core/gateway/headroom_allocator.h"
#include "coltsfootfork/core/gateway/placement_policy.h"
#include "coltsfootfork/core/gateway/prefill_measurement.h"
#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/gateway/server_performance.h"
#include "coltsfootfork/core/gateway/server_rate_limiter.h"
#include "coltsfootfork/core/gateway/zone_restrictions.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct LoadBalancerOptions {
  ZoneId zone;
  // The region of each zone; needed for calls that are restricted to regions.
  std::map<ZoneId, RegionId> regions{};
  PlacementPolicy placement = PowerOfDChoicesPlacement{};
  // Fraction of an engine's memory that predicted peaks may fill.
  double memory_share = 0.95;
  // Load added to a server of another zone, as a fraction of a full server.
  // Traffic between zones has a cost, though a lower one than full servers.
  double other_zone_penalty = 0.1;
  // Load added to a server that is warming up and still slow.
  double warmup_penalty = 0.15;
  ColdLimitOptions cold_limit{};
  PerformancePolicy performance = IgnorePerformance{};
  // Initial and maximum time that an unreachable server is ejected for.
  Duration base_ejection_time = std::chrono::milliseconds(400);
  Duration max_ejection_time = std::chrono::seconds(6);
};

// The requirements of a call on a server.
struct ServerQuery {
  ServiceId service;
  // Null for plain services.
  const EngineProfile* engine = nullptr;
  // Predicted peak memory of the call.
  std::uint64_t tokens = 0;
  // Predicted number of events of a call to an engine, and whether a pause
  // between them can be late.
  std::uint64_t predicted_events = 0;
  bool has_pause_goal = false;
  // Servers that earlier attempts of the call used, and those that are full by
  // ServerRequestBudget.
  std::set<ServerId> excluded;
  // Limit to which the call may fill an engine, as a fraction of the memory
  // that predicted peaks may fill.
  double max_fill = 1.0;
  // Share of the free memory that this entry may use.
  HeadroomShare headroom_share;
  // Regions in which the call may run.
  AllowedRegions permitted_regions;
  // Migration targets must have capacity for the call's predicted load.
  bool requires_capacity = false;
};

struct ServerChoice {
  ServerId id;
  std::string address;
  // The incarnation in the entry's directory.
  std::uint64_t incarnation = 0;
  // Whether the server has capacity for the call's predicted load.
  bool fits = true;
};

// Chooses servers for the calls of one entry. It combines the directory, the
// load of this entry's calls in flight, the last reported load of the other
// entries, and recent call results. Reported loads are some hundred
// milliseconds old, so a call goes to the least loaded of a few servers chosen
// at random: entries with the same view must not all choose the same server.
class LoadBalancer {
 public:
  LoadBalancer(const LoadBalancerOptions& options, std::uint64_t seed);

  // Adds, updates and removes servers to match the directory.
  void ApplyDirectory(const ServerDirectory& directory, Time now);
  // Replaces the load reported by the other entries.
  void SetOtherEntriesLoad(FleetLoad others);

  // Applies the changes of servers' mean pauses that control published.
  void SetPerformance(const EncodedPauses& changes, Time now);
  // Applies the changes of servers' latencies that control published.
  void SetLatencies(const EncodedLatencies& changes);
  // Returns the server's prefill time per token: what was learned, else the
  // median of its service, else kAssumedPrefillPerToken.
  Duration PrefillTimePerToken(const ServerId& id) const;
  // Starts to measure the prefill of a call that has reserved its load and is
  // being sent. Returns nothing if it is not the only one known at the server
  // or cannot be compared with others.
  std::optional<PrefillMeasurement> StartPrefillMeasurement(
      const ServerId& id, std::uint64_t prompt_tokens, Time now) const;
  // Returns the sample at the call's first event; nothing if another prefill
  // was pending at the server meanwhile.
  std::optional<LatencySum> FinishPrefillMeasurement(
      const PrefillMeasurement& measurement, Time now) const;
  // Returns the band of the server's current occupancy.
  OccupancyBand BandOfServer(const ServerId& id) const;
  // Returns the number of servers that are known as slow.
  std::size_t SlowServers() const;
  // Returns the number of servers whose prefill is known as slow, and of those
  // that long streams avoid because of late pauses.
  std::size_t SlowPrefillServers() const;
  std::size_t LatePauseServers() const;

  // Replaces the evacuated zones, whose servers get no calls.
  // Those of zones that are no longer evacuated may have become cold, and are
  // taken to be cold until a later heartbeat must have said so.
  void SetEvacuatedZones(const std::vector<ZoneId>& zones, Time now);
  // Returns when this entry learned that the server's zone is evacuated;
  // nullopt if it is not.
  std::optional<Time> EvacuatedSince(const ServerId& id) const;
  // Returns whether the service has ready servers and all are in evacuated
  // zones or in regions that the call may not use.
  bool IsRestrictedToNoServer(const ServerQuery& query) const;

  void ReserveLoad(const ServerId& id, const ServerLoad& load);
  void ReleaseLoad(const ServerId& id, const ServerLoad& load);
  // Subtracts the tokens of a call whose prefill is done.
  void OnPrefillDone(const ServerId& id, std::uint64_t pending_prefill_tokens);
  // Records whether a call that reached the server failed there.
  void OnResponse(const ServerId& id, bool failed);
  // Ejects a server that could not be reached or timed out.
  void OnUnreachable(const ServerId& id, Time now);

  // Sets the requests a second that a cold server of each service takes;
  // services without a limit are left out.
  void SetColdLimits(std::map<ServiceId, double> per_second, Time now);
  // Records that the incarnation stays cold for so long. Returns true if it was
  // not known as cold and its service limits requests to cold servers.
  bool OnCold(const ServerId& id, std::uint64_t incarnation, Duration remaining,
              Time now);

  // Sets the number of entries that share the servers. A lower number than one
  // of the last half minute is ignored: entries that a control process has lost
  // sight of still send.
  void SetEntryCount(std::uint32_t count, Time now);
  // The number of entries that is in force.
  std::uint32_t entry_count() const { return entry_count_; }

  // Counts a request that is sent to the server against its rate limit.
  void OnSend(const ServerId& id, Time now);
  // Records that the server requested back-off until `until`. This does not
  // count as a failure. Ignored if the incarnation is not the current one.
  void OnBackoffRequested(const ServerId& id, std::uint64_t incarnation,
                          Time until);

  // Records the rate limit that a response of the incarnation named, if any;
  // `sent_at` is when its request was sent. Returns true if the limit changed.
  // Ignored if the incarnation is not the current one.
  bool OnRateLimit(const ServerId& id, std::uint64_t incarnation,
                   std::optional<double> per_second, Time sent_at, Time now);

  // Returns a healthy server for a new call, or nothing if there is none.
  // Prefers servers with capacity for the call.
  std::optional<ServerChoice> Pick(const ServerQuery& query, Time now);

  // Returns whether Pick would find a server.
  bool CanServe(const ServerQuery& query, Time now) const {
    return !Reachable(query, now).empty();
  }

  // Returns when the first server accepts calls again if all eligible servers
  // requested back-off or have reached their rate limit. Returns nothing if a
  // server accepts calls now or none is eligible.
  std::optional<Time> EarliestBackoffEnd(const ServerQuery& query,
                                         Time now) const;

  // Returns a target for a running call that must migrate from `source`. The
  // choice depends on a hash of the call's id, weighted by free memory, and
  // prefers the source's zone. Calls that leave an engine together, at entries
  // that do not know of each other, thus spread over all servers. While several
  // engines drain, each server accepts calls from one of them only: KV
  // transfers of two would queue on its link.
  std::optional<ServerChoice> PickMigrationTarget(const ServerQuery& query,
                                                  const ServerId& source,
                                                  const RequestId& call,
                                                  Time now) const;

  // Returns whether the incarnation is the current one and ready.
  bool IsServing(const ServerId& id, std::uint64_t incarnation) const;
  // Returns whether a back-off that the server requested is in effect.
  bool IsBackingOff(const ServerId& id, Time now) const;
  const ServerRecord* Find(const ServerId& id) const;
  FleetLoad OwnLoad() const;

 private:
  struct Server {
    ServerRecord record;
    ServerLoad own;
    ServerLoad other_entries;
    Time warmup_until;
    // The same as last reported, also while the service has no cold limit: the
    // limit may arrive later.
    Time cold_until;
    // When this entry learned that the server drains.
    Time draining_since;
    Time ejected_until;
    // End of the back-off that the server requested.
    Time backoff_until;
    ServerRateLimiter rate_limiter;
    Slowness slowness;
    // Number of the last prefill known at the server; see PrefillMeasurement.
    std::uint64_t last_prefill = 0;

    // Returns when the server accepts a call of this entry.
    Time accepts_at(Time now) const {
      return std::max(backoff_until, rate_limiter.next_send(now));
    }
    Duration ejection_time{0};
    // Moving average of failed calls, from 0 to 1.
    double failure_ratio = 0;
    // Memory in use at the last headroom allocation, memory that this entry
    // reserved since, and the random offset that rounds this entry's share to
    // whole calls.
    std::uint64_t tokens_at_allocation = 0;
    std::uint64_t tokens_reserved_since_allocation = 0;
    double rounding_offset = 0;

    // Totals of all entries.
    std::uint32_t calls() const { return own.calls + other_entries.calls; }
    std::uint64_t tokens() const { return own.tokens + other_entries.tokens; }
    std::uint64_t pending_prefill_tokens() const {
      return own.pending_prefill_tokens + other_entries.pending_prefill_tokens;
    }
  };

  using Candidates = std::vector<const Server*>;
  // Returns a random sample from this entry's zone and one from the others.
  Candidates SampleCandidates(Candidates candidates);
  // Applies the placement policy. `candidates` must not be empty.
  ServerChoice Choose(const PowerOfDChoicesPlacement& policy,
                      Candidates candidates, const ServerQuery& query,
                      Time now);
  ServerChoice Choose(const RoundRobinPlacement& policy, Candidates candidates,
                      const ServerQuery& query, Time now);
  ServerChoice Choose(const LeastRequestsPlacement& policy,
                      Candidates candidates, const ServerQuery& query,
                      Time now);
  std::vector<const Server*> Reachable(const ServerQuery& query,
                                       Time now) const;
  void UpdateSlowness();
  // Records that the calls of such a load may be in prefill at the server.
  void OnPrefills(Server& server, const ServerLoad& load);
  static Duration PrefillTimePerToken(const Server& server) {
    return server.slowness.prefill_per_token;
  }
  // Returns the band that another call would bring the server into.
  static OccupancyBand NextBand(const Server& server) {
    return BandOf(server.calls() + 1, server.record.slots);
  }
  // Returns whether the call stays within the part of the server's slots and
  // memory that its speed allows to fill before others, and is unlikely to miss
  // its pause goal there because of the server; true if it is not slow.
  bool HasSpareSpeed(const Server& server, const ServerQuery& query) const;
  // Returns what the load of the server is changed by because of the server's
  // late pauses: a long stream avoids them, a short one is not harmed.
  static double LatePauseLoad(const Server& server, const ServerQuery& query,
                              double load);
  void MarkCold(Server& server, Time until, Time now);
  static bool IsReadyFor(const Server& server, const ServerQuery& query);
  bool IsEligible(const Server& server, const ServerQuery& query) const;
  bool HasCapacity(const Server& server, const ServerQuery& query) const;
  double EffectiveLoad(const Server& server, const ServerQuery& query,
                       Time now) const;
  // Returns the engines of the service that started to drain recently.
  std::vector<ServerRecord> RecentlyDraining(const ServiceId& service,
                                             Time now) const;
  double MigrationTargetWeight(const Server& server, const ServerQuery& query,
                               const ZoneId& zone) const;
  // Returns whether the server has capacity for the call if `urgent_fraction`
  // of the free memory is left to more urgent calls.
  bool Fits(const Server& server, const ServerQuery& query,
            double urgent_fraction) const;
  // Returns whether the call stays within this entry's share of the server's
  // free memory.
  bool FitsHeadroomShare(const Server& server, const ServerQuery& query,
                         double urgent_fraction) const;
  // Returns the fraction of all free memory that more urgent calls demand.
  double UrgentFraction(const std::vector<const Server*>& servers,
                        const ServerQuery& query) const;
  double MemoryLimit(const ServerQuery& query) const;
  // Starts a new allocation, in which reserved memory counts as used.
  void AllocateHeadroom(Time now);

  LoadBalancerOptions options_;
  ZoneRestrictions zone_restrictions_;
  std::map<ServerId, Server> servers_;
  std::map<ServiceId, double> cold_request_rate_;
  std::uint64_t last_prefill_ = 0;
  // Number of entries that share the servers, and whether control has told it.
  std::uint32_t entry_count_ = 1;
  bool is_entry_count_known_ = false;
  // Until then a lower number of entries is ignored.
  Time entry_count_until_;
  std::mt19937_64 random_;
  // Counter of RoundRobinPlacement.
  std::size_t next_round_robin_ = 0;
  // Time of the last headroom allocation; the epoch if newer load reports of
  // other entries are to be allocated.
  Time headroom_allocated_at_;
};

}  // namespace coltsfootfork
