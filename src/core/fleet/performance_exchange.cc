#include "coltsfootfork/core/fleet/performance_exchange.h"

#include <algorithm>
#include <chrono>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kSendInterval{1000};
// Part of a report or a digest that latencies may use. An entry measures one or
// two prefills a second, but the pauses of all its streams.
constexpr std::size_t kSumsShare = 3;
// Part of an update: both change as often.
constexpr std::size_t kChangesShare = 2;

// Returns how many of the servers in a message are for latencies.
std::size_t LatencyServers(std::size_t servers, std::size_t share,
                           std::uint64_t turn) {
  if (servers >= share) return servers / share;
  return servers > 0 && turn % share == 0 ? 1 : 0;
}

}  // namespace

PerformanceSums TakeReport(PauseCollector& pauses, LatencyCollector& latencies,
                           std::uint32_t entries) {
  const std::size_t servers = MaxReportedServers(entries);
  PerformanceSums sums;
  sums.latencies = latencies.Take(servers / kSumsShare);
  sums.pauses =
      pauses.Take(servers - sums.latencies.size() / kNumbersPerLatencySum);
  return sums;
}

void PerformanceExchange::OnReport(const EntryReport& report, Time now) {
  pauses_.AddFromEntry(report.pauses, now);
  latencies_.AddFromEntry(report.latencies, now);
}

void PerformanceExchange::OnDigest(const ControlDigest& digest, Time now) {
  pauses_.AddFromPeer(digest.pauses, now);
  latencies_.AddFromPeer(digest.latencies, now);
}

void PerformanceExchange::AddTo(ControlDigest& digest, std::size_t peers,
                                Time now) {
  if (now < next_for_peers_) return;
  next_for_peers_ = now + kSendInterval;
  const std::size_t servers = MaxServersForPeers(peers);
  digest.latencies = latencies_.TakeForPeers(
      LatencyServers(servers, kSumsShare, peer_turn_++));
  digest.pauses = pauses_.TakeForPeers(
      servers - digest.latencies.size() / kNumbersPerLatencySum, now);
}

void PerformanceExchange::Publish(std::size_t entries, Time now) {
  max_servers_ = pauses_.Publish(entries, now);
  if (max_servers_ == 0) return;
  latencies_.Publish(now);
  ++entry_turn_;
}

void PerformanceExchange::AddTo(EntryUpdate& update, Sent& sent) const {
  update.latencies = latencies_.Changes(
      sent.latencies, LatencyServers(max_servers_, kChangesShare, entry_turn_));
  update.pauses = pauses_.Changes(
      sent.pauses, max_servers_ - update.latencies.size() / kNumbersPerLatency);
}

}  // namespace coltsfootfork
