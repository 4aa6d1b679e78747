#include "core/routing/server_chooser.h"

#include <algorithm>
#include <variant>

namespace coltsfootfork {
namespace {

using std::chrono::microseconds;

// A ramping server gets at least this share of its sampled chances, or it
// would never show what it can take.
constexpr double kLeastRampShare = 0.05;
// Draws for each wanted sample before all servers are looked at instead.
constexpr std::size_t kDrawsPerSample = 3;
// Holders of a prefix that are weighed besides the samples.
constexpr std::size_t kMaxHolders = 2;

microseconds ToMicroseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<microseconds>(time);
}

}  // namespace

// All that one choice looks at.
struct ServerChooser::View {
  const ChoiceQuery& query;
  const ServerTable& servers;
  const PrefixHints& hints;
  const std::vector<ServerIndex>& offering;
  Time now;
};

Choice ServerChooser::Choose(const ChoiceQuery& query,
                             const ServerTable& servers,
                             const PrefixHints& hints, Time now) {
  const View view{query, servers, hints, servers.ServersOffering(query.service),
                  now};
  const std::optional<ServerIndex> picked = std::visit(
      [&](const auto& policy) { return Pick(policy, view); }, options_.policy);
  if (picked.has_value()) {
    return {picked, Prefill(view, *picked) + options_.send_cost, false, {}};
  }
  return Refusal(view, AllUsable(view));
}

ServerChooser::Candidates ServerChooser::AllUsable(const View& view) const {
  Candidates usable;
  for (const ServerIndex server : view.offering) {
    if (Usable(view, server)) usable.push_back(server);
  }
  return usable;
}

ServerChooser::Candidates ServerChooser::Sample(const View& view) {
  Candidates sample;
  const std::size_t count = view.offering.size();
  const std::size_t draws =
      count <= options_.samples ? 0 : options_.samples * kDrawsPerSample;
  for (std::size_t i = 0; i < draws && sample.size() < options_.samples; ++i) {
    const ServerIndex server = view.offering[random_() % count];
    if (!Usable(view, server) || !PassesRamp(view, server)) continue;
    sample.push_back(server);
  }
  if (!sample.empty()) return sample;
  for (const ServerIndex server : AllUsable(view)) {
    if (PassesRamp(view, server)) sample.push_back(server);
  }
  return sample;
}

void ServerChooser::AddHolders(const View& view, Candidates* candidates) const {
  if (view.query.prefix_blocks == nullptr) return;
  std::size_t added = 0;
  for (const ServerIndex server :
       view.hints.ServersWithLongestPrefix(*view.query.prefix_blocks)) {
    if (added == kMaxHolders) return;
    if (!Usable(view, server)) continue;
    candidates->push_back(server);
    ++added;
  }
}

bool ServerChooser::Usable(const View& view, ServerIndex server) const {
  const std::vector<ServerIndex>& avoid = view.query.avoid;
  if (std::find(avoid.begin(), avoid.end(), server) != avoid.end()) {
    return false;
  }
  return view.servers.Eligible(server, view.now);
}

bool ServerChooser::PassesRamp(const View& view, ServerIndex server) {
  const double share = view.servers.RampShare(server, view.now);
  if (share >= 1.0) return true;
  constexpr double kRange = 18446744073709551616.0;
  const double draw = static_cast<double>(random_()) / kRange;
  return draw < std::max(share, kLeastRampShare);
}

microseconds ServerChooser::Prefill(const View& view,
                                    ServerIndex server) const {
  const ServerReport& report = *view.servers.row(server).report;
  double missing = 1.0;
  if (view.query.prefix_blocks != nullptr &&
      !view.query.prefix_blocks->empty()) {
    const auto blocks = static_cast<double>(view.query.prefix_blocks->size());
    const auto matched = static_cast<double>(
        view.hints.MatchedBlocks(server, *view.query.prefix_blocks));
    missing = 1.0 - matched / blocks;
  }
  const auto tokens =
      static_cast<std::int64_t>(view.query.prompt_tokens * missing);
  return ToMicroseconds(report.prefill_per_token * tokens);
}

microseconds ServerChooser::Cost(const View& view, ServerIndex server) const {
  const ServerReport& report = *view.servers.row(server).report;
  return view.servers.ExpectedDelay(server, view.query.rank) +
         Prefill(view, server) +
         view.servers.UnreportedWork(server, view.query.rank) +
         options_.running_cost * report.running_requests +
         zones_.Distance(report.zone);
}

bool ServerChooser::Overloaded(const View& view, ServerIndex server) const {
  // A guess must not refuse work, so only the server's own word counts.
  return view.servers.ReportedDelay(server, view.query.rank) >
         view.query.start_within;
}

Choice ServerChooser::Cheapest(const View& view,
                               const Candidates& candidates) const {
  Choice best;
  microseconds best_cost{0};
  for (const ServerIndex server : candidates) {
    if (Overloaded(view, server)) continue;
    const microseconds cost = Cost(view, server);
    if (best.server.has_value() && cost >= best_cost) continue;
    best.server = server;
    best_cost = cost;
  }
  return best;
}

Choice ServerChooser::Refusal(const View& view,
                              const Candidates& candidates) const {
  Choice refusal;
  if (candidates.empty()) return refusal;
  refusal.overloaded = true;
  microseconds shortest = microseconds::max();
  for (const ServerIndex server : candidates) {
    shortest =
        std::min(shortest, view.servers.ReportedDelay(server, view.query.rank));
  }
  refusal.excess = std::chrono::duration_cast<std::chrono::milliseconds>(
      shortest - view.query.start_within);
  return refusal;
}

std::optional<ServerIndex> ServerChooser::Pick(
    const RoundRobinPolicy& /*policy*/, const View& view) {
  const Candidates usable = AllUsable(view);
  if (usable.empty()) return std::nullopt;
  return usable[turns_[view.query.service]++ % usable.size()];
}

std::optional<ServerIndex> ServerChooser::Pick(
    const LeastOutstandingPolicy& /*policy*/, const View& view) {
  const Candidates usable = AllUsable(view);
  if (usable.empty()) return std::nullopt;
  return *std::min_element(
      usable.begin(), usable.end(), [&](ServerIndex a, ServerIndex b) {
        return view.servers.Outstanding(a) < view.servers.Outstanding(b);
      });
}

std::optional<ServerIndex> ServerChooser::Pick(
    const LowestCostPolicy& /*policy*/, const View& view) {
  Candidates candidates = Sample(view);
  AddHolders(view, &candidates);
  const Choice sampled = Cheapest(view, candidates);
  if (sampled.server.has_value()) return sampled.server;
  // Every sampled server is overloaded or ramping: another may not be.
  return Cheapest(view, AllUsable(view)).server;
}

}  // namespace coltsfootfork
