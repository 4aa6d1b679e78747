#include "scheduling/policy_comparison.h"

#include <cstdio>
#include <string>
#include <vector>

#include "scheduling/simulation.h"

namespace coltsfootfork {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3};
// Tokens a second that the engine model makes at the urgent gap.
constexpr double kCapacity = 2500;
constexpr std::chrono::seconds kEnd{360};
constexpr std::chrono::seconds kFlood{60};

struct Scenario {
  std::string name;
  EngineModel engine;
  std::vector<Stream> streams;
};

struct NamedPolicy {
  std::string name;
  SchedulingPolicy policy;
};

Rules BenchRules() {
  Rules rules;
  rules.deferrable_floor = 0.1;
  rules.targets[RankIndex(Rank::kUrgent)].token_gap =
      std::chrono::milliseconds(27);
  rules.targets[RankIndex(Rank::kDeferrable)].token_gap =
      std::chrono::milliseconds(60);
  return rules;
}

Stream Urgent(const std::string& workspace, double load,
              std::chrono::seconds from) {
  Stream stream;
  stream.workspace = workspace;
  stream.rank = Rank::kUrgent;
  stream.tokens_per_second = load * kCapacity;
  stream.prompt = {250, 0.6, 4096};
  stream.output = {80, 0.9, 4096};
  stream.start_within = std::chrono::milliseconds(1500);
  stream.from = from;
  stream.to = kEnd;
  return stream;
}

Stream Deferrable(const std::string& workspace, double load,
                  std::chrono::seconds from) {
  Stream stream;
  stream.workspace = workspace;
  stream.rank = Rank::kDeferrable;
  stream.tokens_per_second = load * kCapacity;
  stream.prompt = {350, 0.6, 4096};
  stream.output = {250, 1.2, 16384};
  stream.start_within = std::chrono::milliseconds(30000);
  stream.from = from;
  stream.to = kEnd;
  return stream;
}

// Two large and four small workspaces in each rank.
std::vector<Stream> Fleet(double urgent, double deferrable,
                          std::chrono::seconds from) {
  std::vector<Stream> streams;
  const double shares[] = {0.4, 0.4, 0.05, 0.05, 0.05, 0.05};
  int number = 0;
  for (const double share : shares) {
    const std::string suffix = std::to_string(number++);
    if (urgent > 0) {
      streams.push_back(Urgent("talk" + suffix, share * urgent, from));
    }
    if (deferrable > 0) {
      streams.push_back(Deferrable("lots" + suffix, share * deferrable, from));
    }
  }
  return streams;
}

std::vector<Stream> Join(std::vector<Stream> a, const std::vector<Stream>& b) {
  a.insert(a.end(), b.begin(), b.end());
  return a;
}

std::vector<Scenario> Scenarios() {
  const std::chrono::seconds start{0};
  const std::vector<Stream> normal = Fleet(0.3, 0.3, start);
  Scenario small_alone{"small caller alone", {}, Fleet(0.3, 0.3, start)};
  small_alone.streams.push_back(Urgent("small", 0.01, start));
  Scenario small_beside{
      "small caller beside a large one at 10x", {}, small_alone.streams};
  small_beside.streams.push_back(Urgent("large", 10, kFlood));
  EngineModel roomy;
  roomy.memory_tokens *= 3;
  const std::vector<Stream> flood = Join(normal, Fleet(0, 10, kFlood));
  return {
      {"normal load, 0.6x", {}, normal},
      {"full load, 1.1x", {}, Fleet(0.4, 0.7, start)},
      {"flood of deferrable work, 10x", {}, flood},
      {"flood of deferrable work, 10x, three times the memory", roomy, flood},
      {"flood of urgent work, 10x",
       {},
       Join(Fleet(0.3, 1.0, start), Fleet(10, 0, kFlood))},
      small_alone,
      small_beside};
}

std::vector<NamedPolicy> Policies() {
  return {{"baseline", {FirstComeFirstServed{}, AdmitUntilFull{}}},
          {"ranked, until full", {RankedFair{}, AdmitUntilFull{}}},
          {"ours", {RankedFair{}, AdmitByPredictedPeak{}}}};
}

RunRecord RunSeeds(const Scenario& scenario, const SchedulingPolicy& policy) {
  RunRecord all;
  for (const std::uint64_t seed : kSeeds) {
    SimulationSettings settings;
    settings.engine = scenario.engine;
    settings.policy = policy;
    settings.rules = BenchRules();
    settings.streams = scenario.streams;
    settings.seed = seed;
    settings.warm_up = kFlood;
    settings.end = kEnd;
    all.Merge(Simulate(settings));
  }
  return all;
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
      records.push_back(RunSeeds(scenario, named.policy));
      PrintRow(named.name, records.back());
    }
    for (const RunRecord& record : records) PrintCallers(record);
    const RunRecord& baseline = records.front();
    const RunRecord& ours = records.back();
    std::printf("\nours to baseline: throughput %.3f, preemptions %llu:%llu\n",
                ours.TokensPerSecond() / baseline.TokensPerSecond(),
                static_cast<unsigned long long>(ours.preemptions),
                static_cast<unsigned long long>(baseline.preemptions));
  }
}

}  // namespace coltsfootfork
