#include "coltsfootfork/core/gateway/plan_lint.h"

#include <map>
#include <utility>

#include "coltsfootfork/core/gateway/plan_index.h"

namespace coltsfootfork {
namespace {

// An entry uses a quarter of its memory for requests that it reads, and another
// one for those in progress (docs/design/held-bytes.md).
constexpr std::uint64_t kBodyMemoryDivisor = 4;

class PlanLint {
 public:
  PlanLint(const RoutingPlan& plan, const PlanLintOptions& options)
      : plan_(plan), options_(options) {
    for (const PlanService& service : plan.services) {
      services_.emplace(service.name, &service);
    }
  }

  std::vector<PlanFinding> Run() {
    CheckVersion();
    for (std::size_t i = 0; i < plan_.routes.size(); ++i) CheckRoute(i);
    CheckShadowedRoutes();
    CheckServices();
    CheckLimits();
    CheckWorkspaces();
    return std::move(findings_);
  }

 private:
  void Add(Severity severity, PlanPlace place, std::string problem) {
    findings_.push_back({place, severity, std::move(problem)});
  }
  void AddError(PlanPlace place, std::string problem) {
    Add(Severity::kError, place, std::move(problem));
  }
  void AddWarning(PlanPlace place, std::string problem) {
    Add(Severity::kWarning, place, std::move(problem));
  }

  void CheckVersion() {
    const auto& in_force = options_.version_in_force;
    if (!in_force || plan_.version > *in_force) return;
    AddError({PlanPart::kPlan, 0, PlanField::kVersion, {}},
             "must be above " + std::to_string(*in_force) +
                 ", the version in force; lower or equal versions are "
                 "acknowledged and change nothing");
  }

  void CheckRoute(std::size_t index) {
    const PlanRoute& route = plan_.routes[index];
    const auto place = [index](PlanField field) {
      return PlanPlace{PlanPart::kRoute, index, field, {}};
    };
    if (route.path_prefix.find('?') != std::string::npos) {
      AddError(place(PlanField::kPathPrefix),
               "never matches, because the query is not part of the path");
    }
    CheckRouteTimes(route, index);
    if (route.max_attempts > 1 && !route.IsSafeToRetry()) {
      AddWarning(place(PlanField::kMaxAttempts),
                 "is above 1, but calls of this route run only once; only "
                 "attempts that have not run are repeated");
    }
    CheckTargets(route, index);
    CheckRegions(route.permitted_regions, place(PlanField::kRegions));
  }

  // Zero is no goal. A timeout of zero is reported by CheckRoutingPlan.
  void CheckRouteTimes(const PlanRoute& route, std::size_t index) {
    if (route.timeout.count() <= 0) return;
    if (route.latency_goal > route.timeout) {
      AddError({PlanPart::kRoute, index, PlanField::kLatencyGoal, {}},
               "is over the route's timeout, so that no call can be late");
    }
    if (route.pause_goal > route.timeout) {
      AddError({PlanPart::kRoute, index, PlanField::kPauseGoal, {}},
               "is over the route's timeout, so that no pause can be too long");
    }
  }

  void CheckTargets(const PlanRoute& route, std::size_t index) {
    bool has_weight = false;
    for (const WeightedService& target : route.services) {
      has_weight = has_weight || target.weight > 0;
    }
    for (std::size_t i = 0; i < route.services.size(); ++i) {
      const WeightedService& target = route.services[i];
      referenced_.insert(target.service);
      // CheckRoutingPlan reports routes without any weight.
      if (target.weight == 0 && has_weight) {
        AddWarning({PlanPart::kRoute, index, PlanField::kTargetWeight, i},
                   "is 0, so that service " + target.service.value() +
                       " gets no calls of this route");
      }
      const auto service = services_.find(target.service);
      if (route.kind == CallKind::kStreaming && service != services_.end() &&
          !service->second->engine) {
        AddWarning({PlanPart::kRoute, index, PlanField::kKind, {}},
                   "is streaming, but service " + target.service.value() +
                       " has no engine that runs a model");
      }
    }
  }

  void CheckRegions(const std::vector<RegionId>& regions, PlanPlace place) {
    if (!options_.regions || regions.empty()) return;
    std::vector<std::size_t> unknown;
    for (std::size_t i = 0; i < regions.size(); ++i) {
      if (options_.regions->count(regions[i]) == 0) unknown.push_back(i);
    }
    if (unknown.size() == regions.size()) {
      AddError(place, "names no known region, so that every call is refused");
      return;
    }
    for (const std::size_t i : unknown) {
      place.element = i;
      AddWarning(place, "unknown region: " + regions[i].value());
    }
  }

  // Hosts are looked up without port and regardless of case, and the last route
  // of a host and prefix is used. CheckRoutingPlan reports hosts that are
  // spelled alike.
  void CheckShadowedRoutes() {
    std::map<std::pair<std::string, std::string>, std::size_t> effective;
    for (std::size_t i = 0; i < plan_.routes.size(); ++i) {
      effective[KeyOf(plan_.routes[i])] = i;
    }
    for (std::size_t i = 0; i < plan_.routes.size(); ++i) {
      const PlanRoute& route = plan_.routes[i];
      const std::size_t winner = effective[KeyOf(route)];
      if (winner == i || plan_.routes[winner].host == route.host) continue;
      AddError({PlanPart::kRoute, i, PlanField::kHost, {}},
               "never matches: route " + std::to_string(winner) +
                   " has the same prefix and, except for case and port, the "
                   "same host");
    }
  }

  static std::pair<std::string, std::string> KeyOf(const PlanRoute& route) {
    return {NormalizeHost(route.host), route.path_prefix};
  }

  void CheckServices() {
    std::map<ServiceId, std::size_t> last;
    for (std::size_t i = 0; i < plan_.services.size(); ++i) {
      last[plan_.services[i].name] = i;
    }
    for (std::size_t i = 0; i < plan_.services.size(); ++i) {
      const PlanService& service = plan_.services[i];
      if (last[service.name] != i) {
        AddError({PlanPart::kService, i, PlanField::kName, {}},
                 "has no effect: service " +
                     std::to_string(last[service.name]) + " has the same name");
      } else if (referenced_.count(service.name) == 0) {
        AddWarning({PlanPart::kService, i, PlanField::kNone, {}},
                   "no route uses service " + service.name.value());
      }
      if (service.cold_period.count() > 0 && service.cold_request_rate <= 0) {
        AddError({PlanPart::kService, i, PlanField::kColdRequestRate, {}},
                 "is 0, which is no limit, but a cold period is set");
      }
    }
  }

  void CheckLimits() {
    const PlanLimits& limits = plan_.limits;
    if (options_.entry_memory_bytes &&
        limits.body_bytes > *options_.entry_memory_bytes / kBodyMemoryDivisor) {
      AddError({PlanPart::kLimits, 0, PlanField::kBodyBytes, {}},
               "is over a quarter of the entries' memory, which is all that "
               "they use for requests");
    }
    if (limits.header_timeout > limits.idle_timeout) {
      AddError({PlanPart::kLimits, 0, PlanField::kHeaderTimeout, {}},
               "is over the idle timeout of a connection");
    }
  }

  void CheckWorkspaces() {
    if (plan_.needs_keys && plan_.workspaces.empty()) {
      for (const PlanRoute& route : plan_.routes) {
        if (route.is_public) continue;
        AddError({PlanPart::kPlan, 0, PlanField::kNeedsKeys, {}},
                 "is empty, so that every call that needs a key is refused");
        break;
      }
    }
    for (std::size_t i = 0; i < plan_.workspaces.size(); ++i) {
      const PlanWorkspace& workspace = plan_.workspaces[i];
      if (plan_.needs_keys && workspace.keys.empty()) {
        AddError({PlanPart::kWorkspace, i, PlanField::kKeys, {}},
                 "must have a key, since no call can belong to workspace " +
                     workspace.name.value() + " without one");
      }
      CheckRegions(workspace.permitted_regions,
                   {PlanPart::kWorkspace, i, PlanField::kRegions, {}});
    }
  }

  const RoutingPlan& plan_;
  const PlanLintOptions& options_;
  std::map<ServiceId, const PlanService*> services_;
  std::set<ServiceId> referenced_;
  std::vector<PlanFinding> findings_;
};

}  // namespace

std::vector<PlanFinding> LintRoutingPlan(const RoutingPlan& plan,
                                         const PlanLintOptions& options) {
  return PlanLint(plan, options).Run();
}

}  // namespace coltsfootfork
