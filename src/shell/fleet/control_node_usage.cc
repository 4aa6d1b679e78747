#include <chrono>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"

// The part of ControlNode that publishes changed load of servers between the
// periodic updates.
namespace coltsfootfork {
namespace {

// How often the pacing is checked while there are only periodic updates.
constexpr std::chrono::milliseconds kIdleInterval{200};

}  // namespace

TotalUsage ControlNode::OwnEntriesUse() const {
  TotalUsage sum;
  for (const auto& [number, incoming] : incoming_links_) {
    if (incoming.entry) AddUsage(sum, incoming.entry->usage);
  }
  return sum;
}

TotalUsage ControlNode::AllEntriesUse(TotalUsage own, Time now) const {
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, now)) AddUsage(own, peer.usage.sum());
  }
  return own;
}

void ControlNode::TickUsage() {
  const Time now = MonotonicNow();
  const TotalUsage own = OwnEntriesUse();
  const TotalUsage all = AllEntriesUse(own, now);
  const auto interval = UsageInterval(options_.usage, all.entries);
  if (interval) {
    SendChangedUsageToPeers(own);
    SendChangedUsageToEntries(all, now);
  }
  usage_timer_.expires_after(interval.value_or(kIdleInterval));
  usage_timer_.async_wait(
      lifetime_.Guard([this](boost::system::error_code error) {
        if (!error) TickUsage();
      }));
}

void ControlNode::SendChangedUsageToPeers(const TotalUsage& own) {
  if (!peer_usage_.HasNewLoad(own)) return;
  const auto usage = peer_usage_.NextDelta(own);
  const EncodedMessage delta(*usage);
  for (auto& [name, peer] : peers_) {
    const bool has_base =
        peer.link && peer.link->is_connected() && peer.full_usage_sent;
    if (has_base) Send(*peer.link, delta);
  }
}

void ControlNode::SendChangedUsageToEntries(const TotalUsage& all, Time now) {
  if (!entry_usage_.HasNewLoad(all)) return;
  const auto usage = entry_usage_.NextDelta(all);
  const EncodedMessage delta(*usage);
  EntryUpdate update = MakeEntryUpdate(now);
  for (auto& [number, incoming] : incoming_links_) {
    if (!incoming.entry || !incoming.entry->full_usage_sent) continue;
    Entry& entry = *incoming.entry;
    Send(*entry.link, delta);
    entry.included_report = entry.last_report;
    update.included_report = entry.included_report;
    Send(*entry.link, update);
  }
}

}  // namespace coltsfootfork
