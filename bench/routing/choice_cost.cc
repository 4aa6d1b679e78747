#include <chrono>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "bench/routing/reports.h"
#include "core/routing/server_chooser.h"

namespace coltsfootfork::bench {
namespace {

constexpr int kChoices = 100000;
constexpr std::uint32_t kPromptTokens = 4000;
constexpr std::uint64_t kPrefixGroups = 200;
constexpr std::uint64_t kBlocksPerPrompt = 64;
constexpr std::uint64_t kHoldersPerGroup = 4;
const ServiceId kService("model");

std::vector<std::uint64_t> BlocksOf(std::uint64_t group) {
  std::vector<std::uint64_t> blocks;
  for (std::uint64_t i = 0; i < kBlocksPerPrompt; ++i) {
    blocks.push_back(group * kBlocksPerPrompt + i + 1);
  }
  return blocks;
}

ServerTable MakeServers(const ChoiceOptions& options, std::size_t count,
                        Time now) {
  ServerTable servers(options);
  for (std::size_t i = 0; i < count; ++i) {
    const ServerIndex index =
        servers.FindOrAdd(ProcessId("agent" + std::to_string(i)));
    servers.SetLink(index, true);
    ServerReport report;
    report.server = ServerId("server" + std::to_string(i));
    report.services = {kService};
    report.serving = true;
    report.urgent_delay = std::chrono::microseconds(i * 37 % 5000);
    report.deferrable_delay = report.urgent_delay * 3;
    report.prefill_per_token = std::chrono::microseconds(50);
    servers.ApplyReport(index, report, now - options.ramp);
    servers.ApplyReport(index, report, now);
    servers.row(index).serving_since = now - options.ramp;
  }
  return servers;
}

double MicrosecondsPerChoice(const ChoicePolicy& policy, std::size_t count) {
  const Time now{std::chrono::seconds(1000)};
  ChoiceOptions options;
  options.policy = policy;
  ServerTable servers = MakeServers(options, count, now);
  PrefixHints hints(options.hint_blocks_per_server);
  std::mt19937_64 random(1);
  for (std::uint64_t group = 0; group < kPrefixGroups; ++group) {
    for (std::uint64_t i = 0; i < kHoldersPerGroup; ++i) {
      hints.AddExpected(static_cast<ServerIndex>(random() % count),
                        BlocksOf(group));
    }
  }
  ServerChooser chooser(options, 1);
  ChoiceQuery query;
  query.service = kService;
  query.rank = Rank::kUrgent;
  query.prompt_tokens = kPromptTokens;
  query.start_within = std::chrono::seconds(30);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kChoices; ++i) {
    const auto blocks = BlocksOf(random() % kPrefixGroups);
    query.prefix_blocks = &blocks;
    const Choice choice = chooser.Choose(query, servers, hints, now);
    servers.OnDispatched(*choice.server, query.rank);
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - start;
  return took.count() / kChoices;
}

}  // namespace

void PrintChoiceCost() {
  std::printf("Time of one choice in microseconds, %d choices each\n\n",
              kChoices);
  std::printf("| servers | lowest cost | round robin | least outstanding |\n");
  std::printf("| ---: | ---: | ---: | ---: |\n");
  for (const std::size_t count : {20U, 200U, 870U}) {
    std::printf("| %zu | %.2f | %.2f | %.2f |\n", count,
                MicrosecondsPerChoice(LowestCostPolicy{}, count),
                MicrosecondsPerChoice(RoundRobinPolicy{}, count),
                MicrosecondsPerChoice(LeastOutstandingPolicy{}, count));
  }
  std::printf("\n");
}

}  // namespace coltsfootfork::bench
