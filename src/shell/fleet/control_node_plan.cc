#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/log/event.h"

// The part of ControlNode that keeps the replicated routing plan.
namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// An operator waits a second for an answer; what waits for a leader is tried
// again until then.
constexpr milliseconds kRelayTimeout{900};
constexpr milliseconds kRelayRetryInterval{100};
constexpr milliseconds kRelayReplyTimeout{400};
// An entry that another process serves first gets a plan from here when it has
// lagged for so long.
constexpr milliseconds kSecondaryPlanDelay{400};
// A plan that was sent arrives, or the link ends; after this it is sent again
// all the same. Above the time that the largest plan takes on a thin link.
constexpr milliseconds kPlanResendTimeout{3000};
// One process at a time is asked for a plan, for the same reason.
constexpr milliseconds kPlanRequestInterval{400};

}  // namespace

bool ControlNode::is_leader() const {
  return replica_ && replica_->HoldsLease(MonotonicNow());
}

std::string ControlNode::Leader(Time now) const {
  if (replica_ && replica_->is_running()) {
    if (replica_->HoldsLease(now)) return options_.self;
    // A replica that the group does not count hears of no leader.
    std::string leader = replica_->leader();
    if (!leader.empty()) return leader;
  }
  // The newest word of a process that says so of itself, or of any other.
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
  // What is committed with a version as high settles the matter.
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

void ControlNode::RelayToLeader(
    RelayRequest request, std::function<void(const RelayReply& reply)> done) {
  const Time now = MonotonicNow();
  const std::uint64_t number = next_id_++;
  request.number = number;
  pending_relays_[number] = {std::move(request), std::move(done),
                             now + kRelayTimeout, now};
  AttemptRelay(number, now);
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
  const PlanDocument& current_plan = plan_state_machine_.document();
  if (request.version <= current_plan.version) {
    reply.done = true;
    // A read; a change that is overtaken needs no more than the word.
    if (request.version == 0) reply.plan = current_plan;
    return done(reply);
  }
  const PlanDocument document{request.version, request.document};
  replica_->Propose(PlanStateMachine::EncodeCommand(document),
                    [reply, done = std::move(done)](bool committed) mutable {
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
  // Not done: the leader was not one; the next try finds another.
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
  // One plan at a time: an entry on a thin link skips those in between.
  const bool in_flight = entry.sent_plan_version > entry.plan_version;
  if (in_flight && now < entry.plan_sent_at + kPlanResendTimeout) return;
  // The process that serves the entry first sends it, most times.
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
    // A group is there. Without itself among the seeds it never founds one.
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
