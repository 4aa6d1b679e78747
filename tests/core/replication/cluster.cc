#include "core/replication/cluster.h"

#include <algorithm>
#include <variant>

namespace coltsfootfork {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr int kPermille = 1000;

}  // namespace

Cluster::Cluster(std::size_t nodes, const std::vector<std::size_t>& seeds,
                 const ReplicaOptions& options, std::uint64_t seed)
    : options_(options), random_(seed) {
  for (std::size_t i = 0; i < nodes; ++i) {
    Node node;
    node.process = ProcessId("replica-" + std::to_string(i));
    node.zone = ZoneId("zone-" + std::to_string(i % 3));
    node.disk = FakeDisk(next_incarnation_++);
    nodes_.push_back(std::move(node));
  }
  for (const std::size_t i : seeds) {
    options_.seeds.push_back(nodes_[i].process);
  }
}

void Cluster::RunFor(Duration duration) {
  const Time end = now_ + duration;
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto first = events_.begin();
    now_ = std::max(now_, first->first);
    const Event event = std::move(first->second);
    events_.erase(first);
    Run(event);
  }
  now_ = end;
}

void Cluster::Start(std::size_t number) {
  Node& node = nodes_[number];
  ReplicaOptions options = options_;
  options.self = node.process;
  options.zone = node.zone;
  ++node.start_count;
  node.state = {};
  node.applied = 0;
  node.replica = std::make_unique<Replica>(options, node.disk.synced(),
                                           random_(), LocalTime(number));
  Schedule(RandomDelay(), {EventKind::kTick, number, node.start_count, {}});
}

void Cluster::Crash(std::size_t number) {
  Node& node = nodes_[number];
  node.replica.reset();
  ++node.start_count;
  node.disk.Crash(Random(node.disk.unsynced_count() + 1));
}

void Cluster::LoseDisk(std::size_t number) {
  nodes_[number].disk = FakeDisk(next_incarnation_++);
}

void Cluster::FailDisk(std::size_t number) { Input(number, PersistFailed{}); }

void Cluster::Freeze(std::size_t number, Duration duration) {
  nodes_[number].frozen_until = now_ + duration;
}

void Cluster::Isolate(std::size_t number, bool incoming, bool outgoing) {
  if (incoming) isolated_incoming_.insert(number);
  if (outgoing) isolated_outgoing_.insert(number);
}

void Cluster::CutLink(std::size_t a, std::size_t b) {
  cut_links_.insert({a, b});
  cut_links_.insert({b, a});
}

void Cluster::HealNetwork() {
  cut_links_.clear();
  isolated_incoming_.clear();
  isolated_outgoing_.clear();
  faults_ = {};
}

ProposalId Cluster::ProposeAt(std::size_t number, const std::string& command) {
  const ProposalId proposal = next_proposal_++;
  commands_[proposal] = {command, checks_.acknowledged_index()};
  Input(number, Propose{proposal, command});
  return proposal;
}

void Cluster::Input(std::size_t number, const ReplicaInput& input) {
  Node& node = nodes_[number];
  if (!node.replica) return;
  Execute(number, node.replica->Handle(input, LocalTime(number)));
}

std::size_t Cluster::LeaseHolder() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& replica = nodes_[i].replica;
    if (replica && replica->HoldsLease(LocalTime(i))) return i;
  }
  return nodes_.size();
}

bool Cluster::HasOutcome(ProposalId proposal, ProposalOutcome outcome) const {
  const auto found = outcomes_.find(proposal);
  return found != outcomes_.end() && found->second == outcome;
}

Time Cluster::LocalTime(std::size_t number) const {
  const Duration elapsed = now_.time_since_epoch();
  return now_ + elapsed * nodes_[number].clock_drift_permille / kPermille;
}

void Cluster::Schedule(Duration delay, Event event) {
  events_.emplace(now_ + delay, std::move(event));
}

void Cluster::Run(const Event& event) {
  Node& node = nodes_[event.node];
  const bool is_from_earlier_start = event.kind != EventKind::kDeliver &&
                                     event.start_count != node.start_count;
  if (!node.replica || is_from_earlier_start) return;
  if (now_ < node.frozen_until) {
    Schedule(node.frozen_until - now_, event);
    return;
  }
  switch (event.kind) {
    case EventKind::kTick:
      Schedule(kTickInterval, event);
      Execute(event.node, node.replica->Tick(LocalTime(event.node)));
      break;
    case EventKind::kDeliver:
      Input(event.node, event.message);
      break;
    case EventKind::kSync:
      Sync(event.node);
      break;
  }
  Check();
}

void Cluster::Sync(std::size_t number) {
  Node& node = nodes_[number];
  if (node.disk.unsynced_count() == 0) return;
  Input(number, PersistDone{node.disk.SyncOne()});
}

void Cluster::Execute(std::size_t number,
                      const std::vector<ReplicaEffect>& effects) {
  for (const ReplicaEffect& effect : effects) {
    std::visit([&](const auto& one) { On(number, one); }, effect);
  }
}

void Cluster::On(std::size_t number, const SendReplicaMessage& send) {
  const ReplicaMessage& message = send.message;
  const ReplicaId sender{nodes_[number].process, message.from};
  const auto* vote = std::get_if<VoteReply>(&message.body);
  if (vote != nullptr && vote->granted && !vote->pre_vote) {
    checks_.OnVote(sender, vote->term, send.to);
  }
  const std::size_t target = NodeOf(send.to);
  if (target == nodes_.size()) return;
  if (isolated_outgoing_.count(number) != 0) return;
  if (isolated_incoming_.count(target) != 0) return;
  if (cut_links_.count({number, target}) != 0) return;
  if (Random(kPermille) < faults_.loss_permille) return;
  const Event event{
      EventKind::kDeliver, target, 0, {nodes_[number].process, message}};
  Schedule(RandomDelay(), event);
  if (Random(kPermille) < faults_.duplicate_permille) {
    Schedule(RandomDelay(), event);
  }
}

void Cluster::On(std::size_t number, const Persist& persist) {
  Node& node = nodes_[number];
  node.disk.Write(persist);
  const auto longest = static_cast<std::uint64_t>(sync_delay_.count());
  const auto delay = static_cast<Duration::rep>(Random(longest) + 1);
  Schedule(Duration(delay), {EventKind::kSync, number, node.start_count, {}});
}

void Cluster::On(std::size_t number, const ApplyCommand& apply) {
  Node& node = nodes_[number];
  if (apply.index <= node.applied) checks_.Fail("an entry was applied twice");
  node.state.Apply(apply.command);
  node.applied = apply.index;
  checks_.OnApplied(apply, node.state);
}

void Cluster::On(std::size_t number, const ApplySnapshot& apply) {
  Node& node = nodes_[number];
  node.state.Restore(apply.bytes);
  node.applied = apply.index;
  checks_.OnRestored(apply);
}

void Cluster::On(std::size_t /*number*/, const ProposalDone& done) {
  outcomes_[done.proposal] = done.outcome;
  if (done.outcome == ProposalOutcome::kCommitted) {
    const ProposedCommand& proposed = commands_[done.proposal];
    checks_.OnAcknowledged(done.index, proposed.command, proposed.min_index);
  }
}

void Cluster::On(std::size_t /*number*/, const VoterChangeDone& done) {
  if (done.outcome == VoterChangeOutcome::kCommitted) ++voter_changes_;
}

void Cluster::On(std::size_t number, const TakeSnapshot& take) {
  Input(number, SnapshotTaken{take.index, nodes_[number].state.Save()});
}

void Cluster::On(std::size_t number, const LogEvent& event) {
  if (event.kind == ReplicaEventKind::kLeaderElected) {
    ++elections_;
    checks_.OnLeader(event.term, nodes_[number].process);
  }
  if (event.kind == ReplicaEventKind::kMemberLogRegressed) {
    checks_.Fail(
        "a replica with an intact log was reported as having lost entries");
  }
}

Duration Cluster::RandomDelay() {
  const auto spread = static_cast<std::uint64_t>(
      (faults_.max_delay - faults_.min_delay).count());
  return faults_.min_delay +
         Duration(static_cast<Duration::rep>(Random(spread + 1)));
}

std::size_t Cluster::NodeOf(const ProcessId& process) const {
  const auto found =
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const Node& node) { return node.process == process; });
  return static_cast<std::size_t>(found - nodes_.begin());
}

void Cluster::Check() {
  std::size_t holders = 0;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& replica = nodes_[i].replica;
    if (!replica || !replica->HoldsLease(LocalTime(i))) continue;
    ++holders;
    checks_.OnRead(nodes_[i].state.revision);
  }
  checks_.OnLeaseHolders(holders);
}

}  // namespace coltsfootfork
