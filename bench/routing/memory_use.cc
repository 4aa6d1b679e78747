#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

#include "bench/routing/reports.h"
#include "coltsfootfork/core/routing/entry_core.h"
#include "core/routing/prefix_hints.h"
#include "core/routing/server_table.h"

namespace coltsfootfork::bench {
namespace {

constexpr std::size_t kRequests = 20000;
constexpr std::size_t kServers = 870;
constexpr std::size_t kPromptBytes = 4096;
constexpr std::size_t kPromptBlocks = 16;
const ServiceId kService("model");

// Bytes that the allocator has given out.
double UsedBytes() { return static_cast<double>(mallinfo2().uordblks); }

std::shared_ptr<Configuration> MakeConfiguration() {
  auto configuration = std::make_shared<Configuration>();
  configuration->services = {{kService, RequestKind::kGeneration}};
  configuration->workspaces = {{WorkspaceId("workspace"), "", 1.0, {}}};
  return configuration;
}

ServerReport MakeReport(std::size_t number) {
  ServerReport report;
  report.server = ServerId("server-of-the-zone-" + std::to_string(number));
  report.zone = ZoneId("availability-zone-1");
  report.services = {kService};
  report.serving = true;
  return report;
}

RequestId NameOf(std::size_t number) {
  return RequestId("entry-1-4711-" + std::to_string(number));
}

CallerRequest MakeRequest(std::size_t number) {
  CallerRequest call;
  call.request = NameOf(number);
  call.workspace = WorkspaceId("workspace");
  call.service = kService;
  call.method = "POST";
  call.target = "/v1/completions";
  call.content_type = "application/json";
  call.body = std::string(kPromptBytes, 'x');
  call.prefix_blocks.assign(kPromptBlocks, number);
  return call;
}

void PrintRequests() {
  const Time now{std::chrono::seconds(1000)};
  EntryOptions options;
  options.process = ProcessId("entry-1");
  EntryCore entry(options, 1);
  const ProcessId agent("agent-1");
  entry.Handle(ConfigurationInForce{MakeConfiguration()}, now);
  entry.Handle(AgentConnected{agent}, now);
  entry.Handle(AgentMessage{agent, MakeReport(0)}, now);
  const double before = UsedBytes();
  for (std::size_t i = 0; i < kRequests; ++i) entry.Handle(MakeRequest(i), now);
  const double waiting = UsedBytes();
  for (std::size_t i = 0; i < kRequests; ++i) {
    entry.Handle(AgentMessage{agent, TokenFrame{NameOf(i), 1, 0, "token"}},
                 now);
  }
  const double streaming = UsedBytes();
  std::printf(
      "| open request before its first token, with %zu bytes of body "
      "| %.0f |\n",
      kPromptBytes, (waiting - before) / kRequests);
  std::printf("| open request after its first token | %.0f |\n",
              (streaming - before) / kRequests);
}

void PrintServers() {
  const Time now{std::chrono::seconds(1000)};
  ChoiceOptions options;
  const double before = UsedBytes();
  ServerTable servers(options);
  for (std::size_t i = 0; i < kServers; ++i) {
    const ServerIndex index =
        servers.FindOrAdd(ProcessId("agent-of-the-zone-" + std::to_string(i)));
    servers.SetLink(index, true);
    servers.ApplyReport(index, MakeReport(i), now);
  }
  const double rows = UsedBytes();
  PrefixHints hints(options.hint_blocks_per_server);
  std::uint64_t block = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    CacheHint hint;
    hint.sequence = 1;
    for (std::size_t k = 0; k < options.hint_blocks_per_server; ++k) {
      hint.added_blocks.push_back(++block);
    }
    hints.Apply(static_cast<ServerIndex>(i), hint);
  }
  const double hinted = UsedBytes();
  std::printf("| server row | %.0f |\n", (rows - before) / kServers);
  std::printf("| hint of one block that one server holds | %.0f |\n",
              (hinted - rows) / static_cast<double>(hints.size()));
}

}  // namespace

void PrintMemoryUse() {
  std::printf("Memory in bytes\n\n| what | bytes |\n| --- | ---: |\n");
  PrintRequests();
  PrintServers();
  std::printf("\n");
}

}  // namespace coltsfootfork::bench
