#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/server_table.h"
#include "core/routing/zone_map.h"

namespace coltsfootfork {

// The properties of a request that determine the choice of its server.
struct ChoiceQuery {
  ServiceId service;
  Rank rank = Rank::kDeferrable;
  std::uint32_t prompt_tokens = 0;
  const std::vector<std::uint64_t>* prefix_blocks = nullptr;
  // A server with a longer queueing delay counts as overloaded.
  std::chrono::milliseconds start_within{0};
  // Servers that have failed this request, in any order.
  std::vector<ServerIndex> avoid;
};

struct Choice {
  // Empty when no server is eligible and not overloaded.
  std::optional<ServerIndex> server;
  // Estimated work that the request adds to its server's queue.
  std::chrono::microseconds work{0};
  // Servers are eligible, but the delay on each is too long.
  bool overloaded = false;
  // When overloaded: how much the shortest delay exceeds the permitted one.
  std::chrono::milliseconds excess{0};
};

// Chooses the backend server of a request by the configured policy.
class ServerChooser {
 public:
  ServerChooser(const ChoiceOptions& options, std::uint64_t seed)
      : options_(options), random_(seed) {}

  void SetZones(ZoneMap zones) { zones_ = std::move(zones); }

  Choice Choose(const ChoiceQuery& query, const ServerTable& servers,
                const PrefixHints& hints, Time now);

 private:
  struct Context;
  using Candidates = std::vector<ServerIndex>;

  Candidates UsableServers(const Context& context) const;
  Candidates Sample(const Context& context);
  void AddPrefixServers(const Context& context, Candidates* candidates) const;
  bool IsUsable(const Context& context, ServerIndex server) const;
  bool PassesRamp(const Context& context, ServerIndex server);
  std::chrono::microseconds PrefillTime(const Context& context,
                                        ServerIndex server) const;
  std::chrono::microseconds Cost(const Context& context,
                                 ServerIndex server) const;
  bool IsOverloaded(const Context& context, ServerIndex server) const;
  Choice Cheapest(const Context& context, const Candidates& candidates) const;
  Choice Refusal(const Context& context, const Candidates& candidates) const;

  std::optional<ServerIndex> Pick(const RoundRobinPolicy& policy,
                                  const Context& context);
  std::optional<ServerIndex> Pick(const LeastOutstandingPolicy& policy,
                                  const Context& context);
  std::optional<ServerIndex> Pick(const LowestCostPolicy& policy,
                                  const Context& context);

  ChoiceOptions options_;
  std::mt19937_64 random_;
  ZoneMap zones_;
  // Number of round-robin choices made for each service.
  std::map<ServiceId, std::uint64_t> round_robin_counts_;
};

}  // namespace coltsfootfork
