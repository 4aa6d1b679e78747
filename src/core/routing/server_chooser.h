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
  struct View;
  using Candidates = std::vector<ServerIndex>;

  Candidates AllUsable(const View& view) const;
  Candidates Sample(const View& view);
  void AddHolders(const View& view, Candidates* candidates) const;
  bool Usable(const View& view, ServerIndex server) const;
  bool PassesRamp(const View& view, ServerIndex server);
  std::chrono::microseconds Prefill(const View& view, ServerIndex server) const;
  std::chrono::microseconds Cost(const View& view, ServerIndex server) const;
  bool Overloaded(const View& view, ServerIndex server) const;
  Choice Cheapest(const View& view, const Candidates& candidates) const;
  Choice Refusal(const View& view, const Candidates& candidates) const;

  std::optional<ServerIndex> Pick(const RoundRobinPolicy& policy,
                                  const View& view);
  std::optional<ServerIndex> Pick(const LeastOutstandingPolicy& policy,
                                  const View& view);
  std::optional<ServerIndex> Pick(const LowestCostPolicy& policy,
                                  const View& view);

  ChoiceOptions options_;
  std::mt19937_64 random_;
  ZoneMap zones_;
  // For each service how many choices round robin has made.
  std::map<ServiceId, std::uint64_t> turns_;
};

}  // namespace coltsfootfork
