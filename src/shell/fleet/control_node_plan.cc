#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that maintains the replicated routing plan.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// Requests are retried until a leader replies or this time is over; below the
// one second that an operator waits for the response.
constexpr milliseconds kRelayTimeout{900};
constexpr milliseconds kRelayRetryInterval{100};
// A request without a reply from the leader is sent again after this time.
constexpr milliseconds kRelayReplyTimeout{400};
// An entry's second control process sends the plan only if the entry's plan has
// been outdated for this long.
constexpr milliseconds kSecondaryPlanDelay{400};
// A plan that the entry has not reported is sent again after this time. Longer
// than the transfer of the largest plan on a slow link.
constexpr milliseconds kPlanResendTimeout{3000};
// Minimum time between two plan requests, so that one peer at a time transfers
// the plan over a slow link.
constexpr milliseconds kPlanRequestInterval{400};

}  // namespace

bool ControlNode::is_leader() const {
  return replica_ && replica_->HoldsLease(MonotonicNow());
}

std::string ControlNode::Leader(Time now) const {
  if (replica_ && replica_->is_running()) {
    if (replica_->HoldsLease(now)) return options_.self;
    // A replica outside the group's membership never learns of a leader.
    std::string leader = replica_->leader();
    if (!leader.empty()) return leader;
  }
  // Use the newest digest that names a leader.
  std::string leader;
  Time newest;
  for (const auto& [name, peer] : peers_) {
    if (!peer.digest || peer.digest->leader.empty()) continue;
    if (peer.digest_at < newest) continue;
    newest = peer.digest_at;
    leader = peer.digest->leader;
  }
  return leader;
}

void ControlNode::PutPlan(PlanDocument document, PutPlanCallback done) {
  // A committed plan of an equal or higher version supersedes the change.
  if (document.version <= plan_.version) return done(true);
  RelayRequest request;
  request.version = document.version;
  request.document = std::move(document.text);
  RelayToLeader(std::move(request), [this, done = std::move(done)](
                                        const RelayReply& reply) {
    ++(reply.done ? counts_.changes_accepted : counts_.changes_refused);
    done(reply.done);
  });
}

void ControlNode::GetPlan(GetPlanCallback done) {
  RelayToLeader(RelayRequest(),
                [this, done = std::move(done)](const RelayReply& reply) {
                  if (!reply.done) {
                    ++counts_.reads_refused;
                    return done(std::nullopt);
                  }
                  done(reply.plan);
                });
}

std::uint64_t ControlNode::RelayToLeader(
    RelayRequest request, std::function<void(const RelayReply& reply)> done) {
  const Time now = MonotonicNow();
  const std::uint64_t number = next_id_++;
  request.number = number;
  pending_relays_[number] = {std::move(request), std::move(done),
                             now + kRelayTimeout, now};
  AttemptRelay(number, now);
  return number;
}

void ControlNode::AttemptRelay(std::uint64_t number, Time now) {
  const auto found = pending_relays_.find(number);
  if (found == pending_relays_.end()) return;
  PendingRelay& waiting = found->second;
  if (now >= waiting.deadline) {
    const auto done = std::move(waiting.done);
    pending_relays_.erase(found);
    return done(RelayReply());
  }
  if (waiting.request.evacuation) {
    // The sender still waits for the order, so it is not a delayed copy.
    waiting.request.evacuation->known_revision = evacuated_zones_.revision;
  }
  const std::string leader = Leader(now);
  milliseconds retry_delay = kRelayRetryInterval;
  if (leader == options_.self) {
    retry_delay = kRelayReplyTimeout;
    const RelayRequest request = waiting.request;
    HandleAsLeader(request, [this](const RelayReply& reply) {
      On(options_.self, reply, MonotonicNow());
    });
  } else if (!leader.empty()) {
    retry_delay = kRelayReplyTimeout;
    SendTo(leader, waiting.request);
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(io_, retry_delay);
  timer->async_wait(
      lifetime_.Guard([this, number, timer](boost::system::error_code error) {
        if (!error) AttemptRelay(number, MonotonicNow());
      }));
}

void ControlNode::HandleAsLeader(
    const RelayRequest& request,
    std::function<void(const RelayReply& reply)> done) {
  RelayReply reply;
  reply.number = request.number;
  if (!is_leader()) return done(reply);
  if (request.evacuation) {
    return HandleEvacuationAsLeader(request, std::move(done));
  }
  const PlanDocument& current_plan = state_machine_.plan().document();
  if (request.version <= current_plan.version) {
    reply.done = true;
    // Only a read needs the document; a superseded change does not.
    if (request.version == 0) reply.plan = current_plan;
    return done(reply);
  }
  const PlanDocument document{request.version, request.document};
  replica_->Propose(PlanStateMachine::EncodeCommand(document),
                    [reply, done = std::move(done)](
                        bool committed, const std::string& /*reply*/) mutable {
                      reply.done = committed;
                      done(reply);
                    });
}

void ControlNode::On(const std::string& from, const RelayRequest& request,
                     Time /*now*/) {
  HandleAsLeader(
      request, [this, from](const RelayReply& reply) { SendTo(from, reply); });
}

void ControlNode::On(const std::string& /*from*/, const RelayReply& reply,
                     Time /*now*/) {
  const auto found = pending_relays_.find(reply.number);
  // If the receiver was not the leader, the next attempt looks for another.
  if (found == pending_relays_.end() || !reply.done) return;
  const auto done = std::move(found->second.done);
  pending_relays_.erase(found);
  done(reply);
}

void ControlNode::RequestPlan(const std::string& peer, Time now) {
  if (now < next_plan_request_) return;
  next_plan_request_ = now + kPlanRequestInterval;
  SendTo(peer, PlanRequest{});
}

void ControlNode::On(const std::string& from, const PlanRequest& /*ask*/,
                     Time /*now*/) {
  if (plan_.version > 0) SendTo(from, plan_);
}

void ControlNode::On(const std::string& /*from*/, const PlanDocument& document,
                     Time /*now*/) {
  InstallPlan(document);
}

void ControlNode::InstallPlan(const PlanDocument& document) {
  if (document.version <= plan_.version) return;
  plan_ = document;
  Log(LogLevel::kInfo, Event::kConfigurationInForce,
      {{"version", std::to_string(plan_.version)},
       {"bytes", std::to_string(plan_.text.size())}});
  const Time now = MonotonicNow();
  for (auto& [number, incoming] : incoming_links_) {
    if (incoming.entry) SendPlanIfOutdated(*incoming.entry, now);
  }
}

void ControlNode::SendPlanIfOutdated(Entry& entry, Time now) {
  if (entry.plan_version >= plan_.version) {
    entry.outdated_since.reset();
    return;
  }
  if (!entry.outdated_since) entry.outdated_since = now;
  // One plan at a time, so that an entry on a slow link skips intermediate
  // versions.
  const bool in_flight = entry.sent_plan_version > entry.plan_version;
  if (in_flight && now < entry.plan_sent_at + kPlanResendTimeout) return;
  // Usually the entry's primary control process sends the plan.
  if (!entry.is_primary && now < *entry.outdated_since + kSecondaryPlanDelay) {
    return;
  }
  entry.sent_plan_version = plan_.version;
  entry.plan_sent_at = now;
  Send(*entry.link, plan_);
}

void ControlNode::StartReplica(Time now) {
  if (replica_->is_running()) return;
  std::vector<std::string> known_peers;
  for (const auto& [name, peer] : peers_) known_peers.push_back(name);
  if (!replica_->is_uninitialized()) {
    return replica_->Start(known_peers, /*target_voters=*/0, now);
  }
  if (quorum_.has_voters()) {
    // A group exists. The seeds exclude this process, so the replica joins the
    // group and never bootstraps another.
    return replica_->Start(known_peers, quorum_.voters().size(), now);
  }
  if (!options_.is_first_start) return;
  const std::vector<std::string> bootstrap_voters = BootstrapVoters(now);
  const bool is_bootstrap_voter =
      std::find(bootstrap_voters.begin(), bootstrap_voters.end(),
                options_.self) != bootstrap_voters.end();
  if (is_bootstrap_voter) {
    replica_->Start(bootstrap_voters, bootstrap_voters.size(), now);
  }
}

}  // namespace coltsfootfork
