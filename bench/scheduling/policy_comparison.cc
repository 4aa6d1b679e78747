#include "scheduling/policy_comparison.h"

#include <cstdio>
#include <string>
#include <vector>

#include "scheduling/scenarios.h"

namespace coltsfootfork {
namespace {

struct NamedPolicy {
  std::string name;
  SchedulingPolicy policy;
};

std::vector<Scenario> Scenarios() {
  return {NormalLoad(),
          FullLoad(),
          DeferrableFlood(),
          RoomyDeferrableFlood(),
          RoomyFloodWithoutPromise(),
          UrgentFlood(),
          SmallAlone(),
          SmallBesideLarge()};
}

// The baseline first, the agent's own last.
std::vector<NamedPolicy> Policies() {
  return {{"first come, until full", BaselinePolicy()},
          {"ranked, until full", RankedPolicy()},
          {"ranked, predicted peak", AgentPolicy()}};
}

void PrintRank(const GroupRecord& group) {
  const double offered =
      group.offered == 0 ? 1 : static_cast<double>(group.offered);
  const double tokens =
      group.tokens == 0 ? 1 : static_cast<double>(group.tokens);
  std::printf(
      " %.0f / %.0f / %.0f | %.1f / %.1f / %.1f | %.1f | %.1f %%, %.1f %% |",
      group.first_token.Quantile(0.5), group.first_token.Quantile(0.95),
      group.first_token.Quantile(0.99), group.gaps.Quantile(0.5),
      group.gaps.Quantile(0.95), group.gaps.Quantile(0.99),
      static_cast<double>(group.stalled.count()) / tokens,
      100.0 * (1 - static_cast<double>(group.refused) / offered),
      100.0 * static_cast<double>(group.refused_late) / offered);
}

void PrintRow(const std::string& name, const RunRecord& record) {
  std::printf("| %s |", name.c_str());
  for (const GroupRecord& rank : record.ranks) PrintRank(rank);
  std::printf(" %.0f | %.1f %%, %.1f %% | %llu (%llu) |\n",
              record.TokensPerSecond(),
              100 * record.TokenShare(Rank::kDeferrable),
              100 * record.SettledShare(Rank::kDeferrable),
              static_cast<unsigned long long>(record.preemptions),
              static_cast<unsigned long long>(record.urgent_preemptions));
}

void PrintHead() {
  std::printf("| policy |");
  for (const char* rank : {"urgent", "deferrable"}) {
    std::printf(
        " %s first token p50/p95/p99 ms | gap p50/p95/p99 ms |"
        " stall us/token | taken, refused late |",
        rank);
  }
  std::printf(
      " tokens/s | deferrable share, settled | preemptions (urgent) |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}

void PrintCallers(const RunRecord& record) {
  for (const char* name : {"small", "large"}) {
    const auto found = record.workspaces.find(name);
    if (found == record.workspaces.end()) continue;
    std::printf("\n%s caller:", name);
    PrintRank(found->second);
  }
  if (record.workspaces.count("small") > 0) std::printf("\n\n");
}

}  // namespace

void ComparePolicies(std::string_view only) {
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name.find(only) == std::string::npos) continue;
    std::printf("\n## %s\n\n", scenario.name.c_str());
    PrintHead();
    std::vector<RunRecord> records;
    for (const NamedPolicy& named : Policies()) {
      records.push_back(RunScenario(scenario, named.policy, {1, 2, 3}));
      PrintRow(named.name, records.back());
    }
    for (const RunRecord& record : records) PrintCallers(record);
    const RunRecord& baseline = records.front();
    const RunRecord& agent = records.back();
    std::printf("\nlast to first: throughput %.3f, preemptions %llu:%llu\n",
                agent.TokensPerSecond() / baseline.TokensPerSecond(),
                static_cast<unsigned long long>(agent.preemptions),
                static_cast<unsigned long long>(baseline.preemptions));
  }
}

}  // namespace coltsfootfork
