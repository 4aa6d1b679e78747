#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "bench/routing/reports.h"
#include "coltsfootfork/core/routing/entry_core.h"

namespace coltsfootfork::bench {
namespace {

constexpr std::uint32_t kTokens = 50;
constexpr std::size_t kServers = 64;
constexpr std::size_t kWorkspaces = 1700;
const ServiceId kService("model");
const Time kNow{std::chrono::seconds(1000)};

std::shared_ptr<Configuration> MakeConfiguration() {
  auto configuration = std::make_shared<Configuration>();
  configuration->services = {{kService, RequestKind::kGeneration}};
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    configuration->workspaces.push_back(
        {WorkspaceId("workspace" + std::to_string(i)), "", 1.0, {}});
  }
  return configuration;
}

ProcessId AgentName(std::size_t number) {
  return ProcessId("agent" + std::to_string(number));
}

EntryCore MakeEntry() {
  EntryOptions options;
  options.process = ProcessId("entry-1");
  EntryCore entry(options, 1);
  entry.Handle(ConfigurationInForce{MakeConfiguration()}, kNow);
  for (std::size_t i = 0; i < kServers; ++i) {
    entry.Handle(AgentConnected{AgentName(i)}, kNow);
    ServerReport report;
    report.server = ServerId("server" + std::to_string(i));
    report.services = {kService};
    report.serving = true;
    entry.Handle(AgentMessage{AgentName(i), report}, kNow);
  }
  return entry;
}

// The time spent in the core, by step of a request.
struct Spent {
  std::chrono::steady_clock::duration requests{0};
  std::chrono::steady_clock::duration tokens{0};
  std::chrono::steady_clock::duration ends{0};
};

RequestId NameOf(std::size_t number) {
  return RequestId("entry-1-4711-" + std::to_string(number));
}

// Opens many streams, runs their tokens turn by turn, and ends them.
Spent RunStreams(std::size_t open) {
  EntryCore entry = MakeEntry();
  std::vector<ProcessId> agents(open);
  Spent spent;
  const auto clock = [] { return std::chrono::steady_clock::now(); };
  auto start = clock();
  for (std::size_t i = 0; i < open; ++i) {
    CallerRequest call;
    call.request = NameOf(i);
    call.workspace = WorkspaceId("workspace" + std::to_string(i % kWorkspaces));
    call.service = kService;
    call.stream = true;
    const auto effects = entry.Handle(call, kNow);
    agents[i] = std::get<SendToAgent>(effects.front()).agent;
  }
  spent.requests = clock() - start;
  start = clock();
  for (std::uint32_t index = 0; index < kTokens; ++index) {
    for (std::size_t i = 0; i < open; ++i) {
      entry.Handle(
          AgentMessage{agents[i], TokenFrame{NameOf(i), 1, index, " token"}},
          kNow);
    }
  }
  spent.tokens = clock() - start;
  start = clock();
  for (std::size_t i = 0; i < open; ++i) {
    RequestCompleted completed;
    completed.request = NameOf(i);
    completed.token_count = kTokens;
    entry.Handle(AgentMessage{agents[i], completed}, kNow);
  }
  spent.ends = clock() - start;
  return spent;
}

double Microseconds(std::chrono::steady_clock::duration time, double count) {
  return std::chrono::duration<double, std::micro>(time).count() / count;
}

}  // namespace

void PrintRequestCost() {
  std::printf("Time in the entry's core in microseconds, %zu servers\n\n",
              kServers);
  std::printf("| open streams | request | token | end |\n");
  std::printf("| ---: | ---: | ---: | ---: |\n");
  for (const std::size_t open : {100U, 1000U, 10000U}) {
    const Spent spent = RunStreams(open);
    const auto count = static_cast<double>(open);
    std::printf("| %zu | %.2f | %.2f | %.2f |\n", open,
                Microseconds(spent.requests, count),
                Microseconds(spent.tokens, count * kTokens),
                Microseconds(spent.ends, count));
  }
  std::printf("\n");
}

}  // namespace coltsfootfork::bench
