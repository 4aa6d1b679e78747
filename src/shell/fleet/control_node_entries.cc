#include <utility>

#include "shell/fleet/control_node.h"

// The part of ControlNode that communicates with the subscribed entries.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Minimum time between directory sync requests to two entries, since most
// entries would reply with the same records.
constexpr milliseconds kEntrySyncInterval{200};
// Interval at which entries receive the list of control processes. Long enough
// to cost little, and short compared to the outage of a replaced process.
constexpr milliseconds kPeerListInterval{2000};

}  // namespace

void ControlNode::OnEntryReport(Entry& entry, const EntryReport& report,
                                Time now) {
  if (!report.is_primary) {
    entry.full_usage_sent = false;
    entry.sent_performance = {};
  }
  entry.is_primary = report.is_primary;
  entry.last_report = report.number;
  entry.usage.entries = report.is_primary ? 1 : 0;
  entry.usage.load = ToKeyed(ToFleetLoad(report.load));
  entry.usage.demand = ToFleetDemand(report.demand);
  entry.plan_version = report.plan_version;
  crashes_.Merge(report.crashes, now);
  performance_.OnReport(report, now);
  const bool differs = !directory_.Matches(report.directory_digest);
  if (now >= next_entry_sync_ &&
      entry.anti_entropy.ShouldRequestSync(differs, now)) {
    next_entry_sync_ = now + kEntrySyncInterval;
    Send(*entry.link, SyncRequest());
  }
  SendPlanIfOutdated(entry, now);
}

PeerList ControlNode::LivePeers(Time now) const {
  PeerList list;
  list.peers.push_back({options_.self, options_.zone, replica_ != nullptr});
  for (const auto& [name, peer] : peers_) {
    if (!IsLive(peer, now)) continue;
    list.peers.push_back({name, peer.digest->zone, peer.digest->has_disk});
  }
  return list;
}

EntryUpdate ControlNode::MakeEntryUpdate(Time now) const {
  EntryUpdate update;
  update.is_current = quorum_.IsCurrent(now);
  update.plan_version = plan_.version;
  update.directory_digest = directory_.digest();
  update.evacuated = EvacuationsToSend();
  update.is_recovering = IsRecovering(now);
  return update;
}

void ControlNode::UpdateEntries(const TotalUsage& own, Time now) {
  const TotalUsage all = AllEntriesUse(own, now);
  std::optional<EncodedMessage> delta;
  if (const auto usage = entry_usage_.NextDelta(all)) delta.emplace(*usage);
  std::optional<EncodedMessage> full_report;
  std::optional<EncodedMessage> peers;
  if (now >= next_peer_list_) {
    next_peer_list_ = now + kPeerListInterval;
    peers.emplace(LivePeers(now));
  }
  EntryUpdate update = MakeEntryUpdate(now);
  performance_.Publish(incoming_links_.size(), now);
  for (auto& [number, incoming] : incoming_links_) {
    if (!incoming.entry) continue;
    Entry& entry = *incoming.entry;
    if (peers) Send(*entry.link, *peers);
    if (entry.is_primary && !entry.full_usage_sent) {
      if (!full_report) full_report.emplace(entry_usage_.FullReport());
      Send(*entry.link, *full_report);
      entry.full_usage_sent = true;
    } else if (entry.is_primary && delta) {
      Send(*entry.link, *delta);
    }
    entry.included_report = entry.last_report;
    update.included_report = entry.included_report;
    update.crashes = crashes_.Encode(entry.sent_crash_revision, now);
    entry.sent_crash_revision = crashes_.revision();
    update.pauses.clear();
    update.latencies.clear();
    if (entry.is_primary) performance_.AddTo(update, entry.sent_performance);
    Send(*entry.link, update);
    SendPlanIfOutdated(entry, now);
  }
}

}  // namespace coltsfootfork
