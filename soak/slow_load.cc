#include "soak/slow_load.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

// Callers of each kind. What those that read nothing make the entries hold, two
// thirds of the budget of 22 MiB of each, must not fail the others' calls.
constexpr int kCallersOfKind = 3;
// The address sanitizer adds shadow memory and redzones: an entry whose peak is
// 32 MB without it uses 221 MB, seven times as much.
#ifdef __SANITIZE_ADDRESS__
constexpr std::int64_t kSanitizerFactor = 7;
#else
constexpr std::int64_t kSanitizerFactor = 1;
#endif
constexpr std::int64_t kMaxMemoryKb =
    std::int64_t{kEntryMemoryMb} * 1000 * kSanitizerFactor;

}  // namespace

SlowLoad::SlowLoad(boost::asio::io_context& io, SoakFleet& fleet)
    : fleet_(fleet), bulk_(io), uploads_(io) {
  std::vector<SlowCallEntry> entries;
  for (const auto& entry : fleet.entries()) {
    entries.push_back({ParseEndpoint(entry.callers_address).value(),
                       [&entry] { return entry.faults; },
                       [&entry] {
                         return entry.pauses > 0 || entry.stops > 0 ||
                                entry.stopping;
                       }});
  }
  for (int kind = 0; kind <= static_cast<int>(kLastSlowCallKind); ++kind) {
    for (int i = 0; i < kCallersOfKind; ++i) {
      callers_.push_back(std::make_unique<SlowCaller>(
          io, "slow-" + std::to_string(callers_.size()),
          static_cast<SlowCallKind>(kind), entries, uploads_,
          [this](const std::string& finding) {
            findings_.push_back(finding);
          }));
    }
  }
}

void SlowLoad::Start() {
  for (const auto& caller : callers_) caller->Start();
}

void SlowLoad::Stop() {
  for (const auto& caller : callers_) caller->Stop();
}

std::map<std::string, std::string> SlowLoad::Heartbeats() {
  const auto heartbeat = [this](const std::string& service,
                                const std::string& address) {
    return json{{"service", service}, {"address", address},
                {"slots", 24},        {"state", "ready"},
                {"born", 1},          {"sequence", sequence_}}
        .dump();
  };
  ++sequence_;
  return {{"bulk", heartbeat("bulk", bulk_.address())},
          {"uploads", heartbeat("uploads", uploads_.address())}};
}

void SlowLoad::CheckMemory() {
  for (const auto& entry : fleet_.entries()) {
    if (!entry.child || entry.stopping) continue;
    const std::int64_t peak_kb = entry.child->StatusNumber("VmHWM");
    peak_memory_kb_ = std::max(peak_memory_kb_, peak_kb);
    if (peak_kb <= kMaxMemoryKb || std::exchange(exceeds_memory_, true)) {
      continue;
    }
    findings_.push_back("the entry at " + entry.address + " used " +
                        std::to_string(peak_kb) + " kB of memory");
  }
}

std::map<SlowCallKind, int> SlowLoad::served() const {
  std::map<SlowCallKind, int> served;
  for (const auto& caller : callers_) {
    served[caller->kind()] += caller->served();
  }
  return served;
}

}  // namespace coltsfootfork
