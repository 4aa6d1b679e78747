#include "core/routing/server_chooser.h"

#include <algorithm>
#include <variant>

namespace coltsfootfork {
namespace {

using std::chrono::microseconds;

// Minimum probability that a sampled server in slow start is used, so that it
// gets requests from the beginning.
constexpr double kMinRampShare = 0.05;
// Random draws per sample; if none is usable, all servers are considered.
constexpr std::size_t kDrawsPerSample = 3;
// Maximum number of servers with the cached prefix that are added to the
// samples.
constexpr std::size_t kMaxPrefixServers = 2;

microseconds ToMicroseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<microseconds>(time);
}

}  // namespace

// The inputs of one choice.
struct ServerChooser::Context {
  const ChoiceQuery& query;
  const ServerTable& servers;
  const PrefixHints& hints;
  const std::vector<ServerIndex>& offering;
  Time now;
};

Choice ServerChooser::Choose(const ChoiceQuery& query,
                             const ServerTable& servers,
                             const PrefixHints& hints, Time now) {
  const Context context{query, servers, hints,
                        servers.ServersOffering(query.service), now};
  const std::optional<ServerIndex> chosen =
      std::visit([&](const auto& policy) { return Pick(policy, context); },
                 options_.policy);
  if (chosen.has_value()) {
    return {
        chosen, PrefillTime(context, *chosen) + options_.send_cost, false, {}};
  }
  return Refusal(context, UsableServers(context));
}

ServerChooser::Candidates ServerChooser::UsableServers(
    const Context& context) const {
  Candidates usable;
  for (const ServerIndex server : context.offering) {
    if (IsUsable(context, server)) usable.push_back(server);
  }
  return usable;
}

ServerChooser::Candidates ServerChooser::Sample(const Context& context) {
  Candidates sample;
  const std::size_t count = context.offering.size();
  const std::size_t draws =
      count <= options_.samples ? 0 : options_.samples * kDrawsPerSample;
  for (std::size_t i = 0; i < draws && sample.size() < options_.samples; ++i) {
    const ServerIndex server = context.offering[random_() % count];
    if (!IsUsable(context, server) || !PassesRamp(context, server)) continue;
    sample.push_back(server);
  }
  if (!sample.empty()) return sample;
  for (const ServerIndex server : UsableServers(context)) {
    if (PassesRamp(context, server)) sample.push_back(server);
  }
  return sample;
}

void ServerChooser::AddPrefixServers(const Context& context,
                                     Candidates* candidates) const {
  if (context.query.prefix_blocks == nullptr) return;
  std::size_t added = 0;
  for (const ServerIndex server :
       context.hints.ServersWithLongestPrefix(*context.query.prefix_blocks)) {
    if (added == kMaxPrefixServers) return;
    if (!IsUsable(context, server)) continue;
    candidates->push_back(server);
    ++added;
  }
}

bool ServerChooser::IsUsable(const Context& context, ServerIndex server) const {
  const std::vector<ServerIndex>& avoid = context.query.avoid;
  if (std::find(avoid.begin(), avoid.end(), server) != avoid.end()) {
    return false;
  }
  return context.servers.Eligible(server, context.now);
}

bool ServerChooser::PassesRamp(const Context& context, ServerIndex server) {
  const double share = context.servers.RampShare(server, context.now);
  if (share >= 1.0) return true;
  constexpr double kRandomRange = 18446744073709551616.0;
  const double draw = static_cast<double>(random_()) / kRandomRange;
  return draw < std::max(share, kMinRampShare);
}

microseconds ServerChooser::PrefillTime(const Context& context,
                                        ServerIndex server) const {
  const ServerReport& report = *context.servers.row(server).report;
  double uncached_share = 1.0;
  if (context.query.prefix_blocks != nullptr &&
      !context.query.prefix_blocks->empty()) {
    const auto blocks =
        static_cast<double>(context.query.prefix_blocks->size());
    const auto matched = static_cast<double>(
        context.hints.MatchedBlocks(server, *context.query.prefix_blocks));
    uncached_share = 1.0 - matched / blocks;
  }
  const auto tokens =
      static_cast<std::int64_t>(context.query.prompt_tokens * uncached_share);
  return ToMicroseconds(report.prefill_per_token * tokens);
}

microseconds ServerChooser::Cost(const Context& context,
                                 ServerIndex server) const {
  const ServerReport& report = *context.servers.row(server).report;
  return context.servers.ExpectedDelay(server, context.query.rank) +
         PrefillTime(context, server) +
         context.servers.UnreportedWork(server, context.query.rank) +
         options_.running_cost * report.running_requests +
         zones_.Distance(report.zone);
}

bool ServerChooser::IsOverloaded(const Context& context,
                                 ServerIndex server) const {
  // An estimate must not cause a refusal, so only the reported delay counts.
  return context.servers.ReportedDelay(server, context.query.rank) >
         context.query.start_within;
}

Choice ServerChooser::Cheapest(const Context& context,
                               const Candidates& candidates) const {
  Choice best;
  microseconds best_cost{0};
  for (const ServerIndex server : candidates) {
    if (IsOverloaded(context, server)) continue;
    const microseconds cost = Cost(context, server);
    if (best.server.has_value() && cost >= best_cost) continue;
    best.server = server;
    best_cost = cost;
  }
  return best;
}

Choice ServerChooser::Refusal(const Context& context,
                              const Candidates& candidates) const {
  Choice refusal;
  if (candidates.empty()) return refusal;
  refusal.overloaded = true;
  microseconds shortest = microseconds::max();
  for (const ServerIndex server : candidates) {
    shortest = std::min(
        shortest, context.servers.ReportedDelay(server, context.query.rank));
  }
  refusal.excess = std::chrono::duration_cast<std::chrono::milliseconds>(
      shortest - context.query.start_within);
  return refusal;
}

std::optional<ServerIndex> ServerChooser::Pick(
    const RoundRobinPolicy& /*policy*/, const Context& context) {
  const Candidates usable = UsableServers(context);
  if (usable.empty()) return std::nullopt;
  return usable[round_robin_counts_[context.query.service]++ % usable.size()];
}

std::optional<ServerIndex> ServerChooser::Pick(
    const LeastOutstandingPolicy& /*policy*/, const Context& context) {
  const Candidates usable = UsableServers(context);
  if (usable.empty()) return std::nullopt;
  return *std::min_element(
      usable.begin(), usable.end(), [&](ServerIndex a, ServerIndex b) {
        return context.servers.Outstanding(a) < context.servers.Outstanding(b);
      });
}

std::optional<ServerIndex> ServerChooser::Pick(
    const LowestCostPolicy& /*policy*/, const Context& context) {
  Candidates candidates = Sample(context);
  AddPrefixServers(context, &candidates);
  const Choice sampled = Cheapest(context, candidates);
  if (sampled.server.has_value()) return sampled.server;
  // All sampled servers are overloaded or in slow start; try the others.
  return Cheapest(context, UsableServers(context)).server;
}

}  // namespace coltsfootfork
