#include "coltsfootfork/core/gateway/plan_diff.h"

#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "coltsfootfork/core/gateway/plan_index.h"

namespace coltsfootfork {
namespace {

// The values of a part's fields as text, in the order of the report.
using FieldTexts = std::vector<std::pair<PlanField, std::string>>;

std::string ToText(bool flag) { return flag ? "true" : "false"; }

std::string ToText(std::chrono::milliseconds time) {
  return std::to_string(time.count()) + " ms";
}

std::string ToText(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

std::string ToText(CallKind kind) {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kNonIdempotent:
      return "non-idempotent";
    case CallKind::kStreaming:
      return "streaming";
  }
  return {};
}

std::string ToText(const std::vector<RegionId>& regions) {
  if (regions.empty()) return "all";
  std::string text;
  for (const RegionId& region : regions) {
    text += (text.empty() ? "" : ", ") + region.value();
  }
  return text;
}

std::string ToText(const std::vector<WeightedService>& targets) {
  std::string text;
  for (const WeightedService& target : targets) {
    text += (text.empty() ? "" : ", ") + target.service.value() + " (weight " +
            std::to_string(target.weight) + ")";
  }
  return text;
}

FieldTexts FieldsOf(const PlanRoute& route) {
  return {{PlanField::kName, route.name.empty() ? "none" : route.name},
          {PlanField::kHost, NormalizeHost(route.host)},
          {PlanField::kPathPrefix, route.path_prefix},
          {PlanField::kKind, ToText(route.kind)},
          {PlanField::kTimeout, ToText(route.timeout)},
          {PlanField::kLatencyGoal, ToText(route.latency_goal)},
          {PlanField::kPauseGoal, ToText(route.pause_goal)},
          {PlanField::kRank, std::to_string(route.rank)},
          {PlanField::kTargets, ToText(route.services)},
          {PlanField::kMaxAttempts, std::to_string(route.max_attempts)},
          {PlanField::kIsPublic, ToText(route.is_public)},
          {PlanField::kResumable, ToText(route.resumable)},
          {PlanField::kRegions, ToText(route.permitted_regions)}};
}

FieldTexts FieldsOf(const PlanService& service) {
  FieldTexts fields = {
      {PlanField::kHealthPath, service.health_path},
      {PlanField::kMaxConnections, std::to_string(service.max_connections)},
      {PlanField::kColdRequestRate, ToText(service.cold_request_rate)},
      {PlanField::kColdPeriod, ToText(service.cold_period)},
      {PlanField::kEngine, service.engine ? "present" : "absent"}};
  const EngineProfile engine = service.engine.value_or(EngineProfile{});
  FieldTexts engine_fields = {
      {PlanField::kSlots, std::to_string(engine.slots)},
      {PlanField::kMemoryTokens, std::to_string(engine.memory_tokens)},
      {PlanField::kBytesPerToken, std::to_string(engine.bytes_per_token)},
      {PlanField::kLinkMegabits, ToText(engine.link_megabits)},
      {PlanField::kMoves, ToText(engine.moves)},
      {PlanField::kBackups, ToText(engine.backups)},
      {PlanField::kTokensPerEvent, std::to_string(engine.tokens_per_event)}};
  for (auto& [field, text] : engine_fields) {
    fields.emplace_back(field, service.engine ? std::move(text) : "none");
  }
  return fields;
}

FieldTexts FieldsOf(const PlanLimits& limits) {
  return {{PlanField::kHeaderBytes, std::to_string(limits.header_bytes)},
          {PlanField::kBodyBytes, std::to_string(limits.body_bytes)},
          {PlanField::kHeaderTimeout, ToText(limits.header_timeout)},
          {PlanField::kIdleTimeout, ToText(limits.idle_timeout)}};
}

FieldTexts FieldsOf(const PlanWorkspace& workspace) {
  return {{PlanField::kRank,
           workspace.rank ? std::to_string(*workspace.rank) : "of the route"},
          {PlanField::kRegions, ToText(workspace.permitted_regions)}};
}

FieldTexts FieldsOf(const RoutingPlan& plan) {
  return {
      {PlanField::kVersion, std::to_string(plan.version)},
      {PlanField::kNeedsKeys, plan.needs_keys ? "required" : "not required"}};
}

std::string NameOf(const PlanRoute& route) {
  const std::string pattern = route.host + route.path_prefix;
  return route.name.empty() ? pattern : route.name + ", " + pattern;
}

std::string NameOf(const PlanService& service) { return service.name.value(); }

std::string NameOf(const PlanWorkspace& workspace) {
  return workspace.name.value();
}

// Pairs elements of two lists by keys; of elements with equal keys, the first
// of one list belongs to the first of the other one.
class Pairing {
 public:
  Pairing(std::size_t before_size, std::size_t after_size)
      : partner_of_after_(after_size), is_paired_before_(before_size) {}

  // Pairs what is not paired yet. `key_of_before(i)` and `key_of_after(i)`
  // return the key of an element, or an empty text if it has none.
  template <typename BeforeKey, typename AfterKey>
  void Pair(BeforeKey key_of_before, AfterKey key_of_after) {
    std::multimap<std::string, std::size_t> before;
    for (std::size_t i = 0; i < is_paired_before_.size(); ++i) {
      if (!is_paired_before_[i]) before.emplace(key_of_before(i), i);
    }
    for (std::size_t i = 0; i < partner_of_after_.size(); ++i) {
      if (partner_of_after_[i]) continue;
      const std::string key = key_of_after(i);
      const auto found = before.lower_bound(key);
      if (key.empty() || found == before.end() || found->first != key) continue;
      partner_of_after_[i] = found->second;
      is_paired_before_[found->second] = true;
      before.erase(found);
    }
  }

  const std::optional<std::size_t>& PartnerOfAfter(std::size_t i) const {
    return partner_of_after_[i];
  }
  bool IsRemoved(std::size_t i) const { return !is_paired_before_[i]; }

 private:
  std::vector<std::optional<std::size_t>> partner_of_after_;
  std::vector<bool> is_paired_before_;
};

class PlanDiff {
 public:
  PlanDiff(const RoutingPlan& before, const RoutingPlan& after)
      : before_(before), after_(after) {}

  std::vector<PlanChange> Run() {
    CompareRoutes();
    ComparePart(PlanPart::kService, before_.services, after_.services);
    CompareFields({}, "", FieldsOf(before_), FieldsOf(after_));
    CompareFields({PlanPart::kLimits, 0, PlanField::kNone, {}}, "",
                  FieldsOf(before_.limits), FieldsOf(after_.limits));
    ComparePart(PlanPart::kWorkspace, before_.workspaces, after_.workspaces);
    return std::move(changes_);
  }

 private:
  void CompareRoutes() {
    const auto pattern = [](const PlanRoute& route) {
      return NormalizeHost(route.host) + route.path_prefix;
    };
    Pairing pairing(before_.routes.size(), after_.routes.size());
    pairing.Pair([&](std::size_t i) { return pattern(before_.routes[i]); },
                 [&](std::size_t i) { return pattern(after_.routes[i]); });
    pairing.Pair([&](std::size_t i) { return before_.routes[i].name; },
                 [&](std::size_t i) { return after_.routes[i].name; });
    Compare(PlanPart::kRoute, before_.routes, after_.routes, pairing);
  }

  template <typename T>
  void ComparePart(PlanPart part, const std::vector<T>& before,
                   const std::vector<T>& after) {
    Pairing pairing(before.size(), after.size());
    pairing.Pair([&](std::size_t i) { return before[i].name.value(); },
                 [&](std::size_t i) { return after[i].name.value(); });
    Compare(part, before, after, pairing);
  }

  template <typename T>
  void Compare(PlanPart part, const std::vector<T>& before,
               const std::vector<T>& after, const Pairing& pairing) {
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (!pairing.IsRemoved(i)) continue;
      changes_.push_back({PlanChangeKind::kRemoved,
                          {part, i, PlanField::kNone, {}},
                          NameOf(before[i]),
                          {},
                          {}});
    }
    for (std::size_t i = 0; i < after.size(); ++i) {
      const PlanPlace place = {part, i, PlanField::kNone, {}};
      const std::string name = NameOf(after[i]);
      const auto& partner = pairing.PartnerOfAfter(i);
      if (!partner) {
        changes_.push_back({PlanChangeKind::kAdded, place, name, {}, {}});
        continue;
      }
      CompareFields(place, name, FieldsOf(before[*partner]),
                    FieldsOf(after[i]));
      CompareKeys(place, before[*partner], after[i]);
    }
  }

  void CompareFields(PlanPlace place, const std::string& name,
                     const FieldTexts& before, const FieldTexts& after) {
    for (std::size_t i = 0; i < after.size(); ++i) {
      if (before[i].second == after[i].second) continue;
      place.field = after[i].first;
      changes_.push_back({PlanChangeKind::kChanged, place, name,
                          before[i].second, after[i].second});
    }
  }

  template <typename T>
  void CompareKeys(PlanPlace /*place*/, const T& /*before*/,
                   const T& /*after*/) {}

  // Keys are secrets, so that only their numbers are reported.
  void CompareKeys(PlanPlace place, const PlanWorkspace& before,
                   const PlanWorkspace& after) {
    const std::set<std::string> old_keys(before.keys.begin(),
                                         before.keys.end());
    const std::set<std::string> new_keys(after.keys.begin(), after.keys.end());
    if (old_keys == new_keys) return;
    std::size_t kept = 0;
    for (const std::string& key : new_keys) kept += old_keys.count(key);
    place.field = PlanField::kKeys;
    changes_.push_back({PlanChangeKind::kChanged, place, NameOf(after),
                        std::to_string(old_keys.size()) + " keys",
                        std::to_string(new_keys.size()) + " keys, " +
                            std::to_string(new_keys.size() - kept) + " new"});
  }

  const RoutingPlan& before_;
  const RoutingPlan& after_;
  std::vector<PlanChange> changes_;
};

}  // namespace

std::vector<PlanChange> DiffRoutingPlans(const RoutingPlan& before,
                                         const RoutingPlan& after) {
  return PlanDiff(before, after).Run();
}

}  // namespace coltsfootfork
