#include <boost/algorithm/string/join.hpp>
#include <string>
#include <utility>
#include <vector>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that maintains the evacuated zones.
namespace coltsfootfork {
namespace {

std::string NamesOf(const std::vector<ZoneId>& zones) {
  std::vector<std::string> names;
  names.reserve(zones.size());
  for (const ZoneId& zone : zones) names.push_back(zone.value());
  return boost::algorithm::join(names, ",");
}

}  // namespace

std::uint64_t ControlNode::OrderEvacuation(const ZoneId& zone, bool is_start,
                                           EvacuationCallback done) {
  RelayRequest request;
  request.evacuation = EvacuationOrder{zone, is_start, 0};
  return RelayToLeader(std::move(request),
                       [this, done = std::move(done)](const RelayReply& reply) {
                         // A leader of an earlier version does not set the
                         // outcome.
                         const bool is_done = reply.done && reply.evacuation;
                         ++(is_done ? counts_.evacuation_orders_accepted
                                    : counts_.evacuation_orders_refused);
                         done(is_done ? reply.evacuation : std::nullopt);
                       });
}

void ControlNode::CancelEvacuationOrder(std::uint64_t number) {
  const auto found = pending_relays_.find(number);
  if (found == pending_relays_.end() || !found->second.request.evacuation) {
    return;
  }
  pending_relays_.erase(found);
}

void ControlNode::HandleEvacuationAsLeader(
    const RelayRequest& request,
    std::function<void(const RelayReply& reply)> done) {
  RelayReply reply;
  reply.number = request.number;
  const EvacuationOrder& order = *request.evacuation;
  const EvacuationOutcome expected = state_machine_.evacuations().Check(order);
  // Only a change needs the log: the rest is decided by committed state.
  if (expected != EvacuationOutcome::kApplied) {
    reply.done = expected != EvacuationOutcome::kOutdated;
    reply.evacuation = expected;
    return done(reply);
  }
  replica_->Propose(
      FleetStateMachine::EncodeCommand(order),
      [reply, done = std::move(done)](bool committed,
                                      const std::string& result) mutable {
        if (committed) {
          reply.evacuation = FleetStateMachine::DecodeReply(result);
          reply.done = reply.evacuation != EvacuationOutcome::kOutdated;
        }
        done(reply);
      });
}

void ControlNode::InstallEvacuations(const EvacuatedZones& evacuated) {
  if (evacuated.revision <= evacuated_zones_.revision) return;
  evacuated_zones_ = evacuated;
  Log(LogLevel::kInfo, Event::kEvacuationsInForce,
      {{"revision", std::to_string(evacuated_zones_.revision)},
       {"zones", NamesOf(evacuated_zones_.zones)}});
  const Time now = MonotonicNow();
  const EncodedMessage digest(Digest(now));
  for (auto& [name, peer] : peers_) {
    if (peer.link && peer.link->is_connected()) Send(*peer.link, digest);
  }
  SendUpdateToEntries(now);
}

void ControlNode::SendUpdateToEntries(Time now) {
  EntryUpdate update = MakeEntryUpdate(now);
  for (auto& [number, incoming] : incoming_links_) {
    if (!incoming.entry) continue;
    update.included_report = incoming.entry->included_report;
    Send(*incoming.entry->link, update);
  }
}

bool ControlNode::IsRecovering(Time now) const {
  if (!has_recovered_) return true;
  // A new leader holds the lease once it has applied what was committed before.
  return Leader(now) == options_.self && !is_leader();
}

void ControlNode::OnRecovered(Time now) {
  if (std::exchange(has_recovered_, true)) return;
  SendUpdateToEntries(now);
}

std::optional<EvacuatedZones> ControlNode::EvacuationsToSend() const {
  if (evacuated_zones_.revision == 0) return std::nullopt;
  return evacuated_zones_;
}

}  // namespace coltsfootfork
