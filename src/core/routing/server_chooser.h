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

// What matters of a request for the choice of its server.
struct ChoiceQuery {
  ServiceId service;
  Rank rank = Rank::kDeferrable;
  std::uint32_t prompt_tokens = 0;
  const std::vector<std::uint64_t>* prefix_blocks = nullptr;
  // A server on which the request would wait longer is overloaded.
  std::chrono::milliseconds start_within{0};
  // Servers that have failed this request, in no order.
  std::vector<ServerIndex> avoid;
};

struct Choice {
  // Empty when no server can take the request now.
  std::optional<ServerIndex> server;
  // The work that the request adds to its server's queue.
  std::chrono::microseconds work{0};
  // Whether servers are there, but the wait on all of them is too long.
  bool overloaded = false;
  // When overloaded: how far the shortest wait lies above what is allowed.
  std::chrono::milliseconds excess{0};
};

// Picks the backend server for a request by the policy of the options.
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
  // For each service how many choices round robin has made.
  std::map<ServiceId, std::uint64_t> round_robin_counts_;
};

}  // namespace coltsfootfork
