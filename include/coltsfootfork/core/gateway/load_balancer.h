#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/gateway/headroom_allocator.h"
#include "coltsfootfork/core/gateway/placement_policy.h"
#include "coltsfootfork/core/gateway/routing_plan.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct LoadBalancerOptions {
  ZoneId zone;
  PlacementPolicy placement = PowerOfDChoicesPlacement{};
  // The part of an engine's memory that predicted peaks may fill.
  double memory_share = 0.95;
  // What a server of another zone counts as further loaded, as a part of a
  // full one: bytes between zones have a price, full servers a higher one.
  double other_zone_penalty = 0.1;
  // The same for one that has just started and is still slow.
  double warmup_penalty = 0.15;
  // First and longest time that a server is passed over after a failure to
  // reach it.
  Duration base_ejection_time = std::chrono::milliseconds(400);
  Duration max_ejection_time = std::chrono::seconds(6);
};

// What a call needs of a server.
struct ServerQuery {
  ServiceId service;
  // Null for plain services.
  const EngineProfile* engine = nullptr;
  // Predicted peak of the call's memory.
  std::uint64_t tokens = 0;
  // Servers that were tried already.
  std::set<ServerId> excluded;
  // The part of an engine's memory that the call may fill it up to, of what
  // predicted peaks may fill at all.
  double max_fill = 1.0;
  // Of what is free, the part that this entry may take.
  HeadroomShare headroom_share;
};

struct ServerChoice {
  ServerId id;
  std::string address;
  // The incarnation that is known.
  std::uint64_t incarnation = 0;
  // The prediction leaves room for the call.
  bool fits = true;
};

// What one entry knows of the servers: the directory, its own calls under way,
// those of the other entries as last told, and how calls ended lately. Loads
// that others tell are some hundred milliseconds old, so a call is placed on
// the best of a few servers drawn by lot: entries with the same view must not
// all choose the one that looks emptiest.
class LoadBalancer {
 public:
  LoadBalancer(const LoadBalancerOptions& options, std::uint64_t seed);

  // Takes over what the directory says now.
  void ApplyDirectory(const ServerDirectory& directory, Time now);
  // What the other entries' calls take; replaces what was known.
  void SetOtherEntriesLoad(FleetLoad others);

  void ReserveLoad(const ServerId& id, const ServerLoad& load);
  void ReleaseLoad(const ServerId& id, const ServerLoad& load);
  // A call's prompt has been read.
  void OnPrefillDone(const ServerId& id, std::uint64_t pending_prefill_tokens);
  // A call was answered by the server itself, with a failure or not.
  void OnResponse(const ServerId& id, bool failed);
  // The server could not be reached, or fell silent.
  void OnUnreachable(const ServerId& id, Time now);

  // The server wants nothing from this entry until then. Only an incarnation
  // that is still known is held to its word, and it has not failed.
  void OnBackoffRequested(const ServerId& id, std::uint64_t incarnation,
                          Time until);

  // A good server that may get new calls, or nothing. One that the call fits is
  // preferred to any that it does not.
  std::optional<ServerChoice> Pick(const ServerQuery& query, Time now);

  // Whether there is a server that Pick could choose.
  bool CanServe(const ServerQuery& query, Time now) const {
    return !Reachable(query, now).empty();
  }

  // Where every server that could be chosen has asked for time: when the first
  // of them takes calls again. Nothing where one can be chosen, or there is
  // none.
  std::optional<Time> EarliestBackoffEnd(const ServerQuery& query,
                                         Time now) const;

  // A server for a running call that must leave `source`, drawn by the call's
  // name in proportion to the room there, mostly in the source's zone. Calls
  // that leave an engine together, at entries that do not know of each other,
  // spread over all servers. Where several engines leave at a time, each server
  // takes calls of one of them only: copies of two would queue on its link.
  std::optional<ServerChoice> PickMigrationTarget(const ServerQuery& query,
                                                  const ServerId& source,
                                                  const RequestId& call,
                                                  Time now) const;

  // Whether the incarnation is known and has not begun to leave.
  bool IsServing(const ServerId& id, std::uint64_t incarnation) const;
  // Whether the server has asked for time that is not over.
  bool IsBackingOff(const ServerId& id, Time now) const;
  const ServerRecord* Find(const ServerId& id) const;
  FleetLoad OwnLoad() const;

 private:
  struct Server {
    ServerRecord record;
    ServerLoad own;
    ServerLoad other_entries;
    Time warmup_until;
    // When this entry heard that it leaves.
    Time draining_since;
    Time ejected_until;
    // It has asked for nothing new until then.
    Time backoff_until;
    Duration ejection_time{0};
    // Share of failed answers, lately.
    double failure_ratio = 0;
    // Memory that was taken when room was last shared out, what this entry has
    // placed since, and its lot where its part is less than a whole call.
    std::uint64_t tokens_at_allocation = 0;
    std::uint64_t tokens_placed_since = 0;
    double rounding_offset = 0;

    // Of all entries.
    std::uint32_t calls() const { return own.calls + other_entries.calls; }
    std::uint64_t tokens() const { return own.tokens + other_entries.tokens; }
    std::uint64_t pending_prefill_tokens() const {
      return own.pending_prefill_tokens + other_entries.pending_prefill_tokens;
    }
  };

  using Candidates = std::vector<const Server*>;
  // A few by lot, of the own zone and of the others.
  Candidates SampleCandidates(Candidates candidates);
  // The policies' choices among servers of which there is at least one.
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
  static bool IsEligible(const Server& server, const ServerQuery& query);
  double EffectiveLoad(const Server& server, const ServerQuery& query,
                       Time now) const;
  // The engines of the service that have begun to leave lately.
  std::vector<ServerRecord> RecentlyDraining(const ServiceId& service,
                                             Time now) const;
  double MigrationTargetWeight(const Server& server, const ServerQuery& query,
                               const ZoneId& zone) const;
  // `urgent_part` of the free memory is left to more urgent calls.
  bool Fits(const Server& server, const ServerQuery& query,
            double urgent_fraction) const;
  // Whether the call keeps to this entry's part of the server's free memory.
  bool FitsHeadroomShare(const Server& server, const ServerQuery& query,
                         double urgent_fraction) const;
  // The part of all free memory that more urgent calls want.
  double UrgentFraction(const std::vector<const Server*>& servers,
                        const ServerQuery& query) const;
  double MemoryLimit(const ServerQuery& query) const;
  // From now on what was placed counts as taken.
  void AllocateHeadroom(Time now);

  LoadBalancerOptions options_;
  std::map<ServerId, Server> servers_;
  std::mt19937_64 random_;
  // Whose turn it is where servers take turns.
  std::size_t next_round_robin_ = 0;
  // When room was last shared out; the beginning of time if others have told
  // more since.
  Time headroom_allocated_at_;
};

}  // namespace coltsfootfork
