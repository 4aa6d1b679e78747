#include "control_state/claim_cost.h"

#include <chrono>
#include <cstdio>
#include <string>

#include "coltsfootfork/core/configuration/sha256.h"
#include "coltsfootfork/core/control_state/claim_table.h"
#include "coltsfootfork/core/control_state/control_codec.h"
#include "control_state/measure.h"

namespace coltsfootfork {
namespace {

constexpr std::size_t kTableSizes[] = {1000, 10000, 65536};
constexpr std::size_t kAnswerBytes = 200;
constexpr std::size_t kWorkspaces = 100;
constexpr std::chrono::milliseconds kNow = std::chrono::hours(1);

ClaimBegin BeginOf(std::size_t number) {
  const std::string text = std::to_string(number);
  return {{WorkspaceId("ws-" + std::to_string(number % kWorkspaces)),
           "5a1f0000-0000-4000-8000-" + text},
          Sha256Hex(text),
          RequestId("entry-01-1700000000000-" + text)};
}

ClaimSettle SettleOf(const ClaimBegin& begin) {
  return {begin.claim,
          begin.request,
          ClaimOutcome::kDone,
          {201, "application/json", std::string(kAnswerBytes, 'x')}};
}

void PrintTable(std::size_t count) {
  const std::size_t before = HeapBytes();
  ClaimTable table;
  const auto fill = MedianTime(1, [&] {
    for (std::size_t i = 0; i < count; ++i) {
      const ClaimBegin begin = BeginOf(i);
      table.Begin(begin, kNow);
      table.Settle(SettleOf(begin), kNow);
    }
  });
  const std::size_t heap = HeapBytes() - before;
  std::string snapshot;
  const auto write = MedianTime(1, [&] { snapshot = table.Snapshot(); });
  ClaimTable restored;
  const auto read = MedianTime(1, [&] { restored.Restore(snapshot); });
  const auto number = static_cast<double>(count);
  std::printf("| %zu | %.1f | %.0f | %.0f | %.0f | %.0f |\n", count,
              static_cast<double>(fill.count()) / number,
              static_cast<double>(heap) / number,
              static_cast<double>(snapshot.size()) / number,
              InMilliseconds(write), InMilliseconds(read));
}

}  // namespace

void PrintClaimCost() {
  const ClaimBegin begin = BeginOf(1);
  std::printf(
      "\nLog bytes of one claim: begin %zu, settle with an answer of %zu "
      "bytes %zu\n",
      EncodeControlCommand({kNow, begin}).size(), kAnswerBytes,
      EncodeControlCommand({kNow, SettleOf(begin)}).size());
  std::printf(
      "\n| claims | begin and settle, us | heap a claim, bytes | snapshot a "
      "claim, bytes | snapshot, ms | restore, ms |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const std::size_t count : kTableSizes) PrintTable(count);
}

}  // namespace coltsfootfork
