#include "shell/fleet/replica_host.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "coltsfootfork/core/replication/replica_codec.h"
#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/replica/replica_disk.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReopenDelay{500};
// An election timeout is one to two times kMinElectionTimeout, which allows for
// enough heartbeats for a control process on a busy host to reply.
constexpr milliseconds kHeartbeat{120};
constexpr milliseconds kMinElectionTimeout{600};
constexpr milliseconds kProbeInterval{200};
// A voter that sent nothing for this long may be replaced by a new replica.
constexpr milliseconds kDeadAfter{2500};

}  // namespace

ReplicaHost::ReplicaHost(ReplicaHostOptions options,
                         StateMachine& state_machine, Transmit transmit,
                         Time now)
    : options_(std::move(options)),
      random_(options_.seed),
      state_machine_(state_machine),
      transmit_(std::move(transmit)),
      inputs_([this](const ReplicaInput& input) {
        // Inputs for a halted replica are meaningless to its successor.
        if (halted_) return;
        Execute(replica_->Handle(input, MonotonicNow()));
      }) {
  Open(now);
}

bool ReplicaHost::is_uninitialized() const {
  return recovered_ && recovered_->hard_state.group == 0;
}

void ReplicaHost::Open(Time now) {
  DiskLogOptions disk_options;
  disk_options.folder = options_.data_folder;
  disk_options.refuse_copies = options_.refuse_copies;
  disk_options.fault_injector = MakeDiskFaultInjector();
  disk_ = OpenReplicaDisk(disk_options, nullptr);
  if (!disk_) {
    reopen_at_ = now + kReopenDelay;
    return;
  }
  recovered_ = disk_->TakeRecovered();
}

std::function<int(StorageStep)> ReplicaHost::MakeDiskFaultInjector() {
  if (options_.disk_fault_share <= 0) return nullptr;
  return [this](StorageStep step) {
    std::bernoulli_distribution fails(options_.disk_fault_share);
    if (!fails(random_)) return 0;
    return step == StorageStep::kWrite ? ENOSPC : EIO;
  };
}

void ReplicaHost::Start(const std::vector<std::string>& seeds,
                        std::size_t target_voters, Time now) {
  seeds_ = seeds;
  target_voters_ = target_voters;
  if (replica_ || !recovered_) return;
  ReplicaOptions options;
  options.self = ProcessId(options_.self);
  options.zone = options_.zone;
  for (const std::string& seed : seeds_) options.seeds.emplace_back(seed);
  options.heartbeat = kHeartbeat;
  options.min_election_timeout = kMinElectionTimeout;
  options.probe_interval = kProbeInterval;
  VoterPlannerOptions planner;
  planner.target_voters = std::max(target_voters_, RecoveredVoters());
  planner.dead_after = kDeadAfter;
  Replica replica(options, std::move(*recovered_), options_.seed, now);
  recovered_.reset();
  replica_ = std::make_unique<ControlReplica>(std::move(replica),
                                              state_machine_, planner);
  Tick(now);
}

std::size_t ReplicaHost::RecoveredVoters() const {
  std::size_t voters = 1;
  if (recovered_->snapshot) {
    voters = recovered_->snapshot->membership.VoterCount();
  }
  for (const LogEntry& entry : recovered_->entries) {
    if (entry.kind == EntryKind::kMembership) {
      voters = entry.membership.VoterCount();
    }
  }
  return voters;
}

void ReplicaHost::OnMessage(const std::string& from, const std::string& bytes) {
  if (!replica_) return;
  auto message = ReadReplicaMessage(from, bytes);
  if (!message) return;
  inputs_.Add(ReplicaMessageReceived{ProcessId(from), std::move(*message)});
}

void ReplicaHost::Tick(Time now) {
  if (halted_) CloseAndScheduleReopen(now);
  if (!disk_ && now >= reopen_at_) Open(now);
  if (!replica_) {
    // The folder was opened after Start, whose arguments still apply.
    if (recovered_ && !seeds_.empty()) Start(seeds_, target_voters_, now);
    return;
  }
  inputs_.Run([&] { Execute(replica_->Tick(now)); });
}

void ReplicaHost::CloseAndScheduleReopen(Time now) {
  halted_ = false;
  replica_.reset();
  disk_.reset();
  inputs_.Clear();
  reopen_at_ = now + kReopenDelay;
  const auto waiting = std::exchange(pending_proposals_, {});
  for (const auto& [proposal, done] : waiting) done(false, {});
}

void ReplicaHost::Propose(std::string command, ProposeCallback done) {
  if (!replica_) return done(false, {});
  const ProposalId proposal = next_proposal_++;
  pending_proposals_[proposal] = std::move(done);
  inputs_.Add(coltsfootfork::Propose{proposal, std::move(command)});
}

bool ReplicaHost::HoldsLease(Time now) const {
  return replica_ && replica_->replica().HoldsLease(now);
}

std::string ReplicaHost::leader() const {
  if (!replica_) return {};
  return replica_->replica().leader().value_or(ProcessId()).value();
}

std::vector<std::string> ReplicaHost::voters() const {
  std::vector<std::string> names;
  if (!replica_) return names;
  for (const ProcessId& voter : replica_->replica().voters()) {
    names.push_back(voter.value());
  }
  return names;
}

void ReplicaHost::Execute(const std::vector<ControlReplicaEffect>& effects) {
  for (const ControlReplicaEffect& effect : effects) {
    std::visit([this](const auto& one) { Execute(one); }, effect);
  }
}

void ReplicaHost::Execute(const SendReplicaMessage& effect) {
  transmit_(effect.to.value(), EncodeReplicaMessage(effect.message));
}

void ReplicaHost::Execute(const Persist& effect) {
  if (WriteToReplicaDisk(*disk_, effect)) {
    inputs_.Add(PersistDone{effect.token});
  } else {
    inputs_.Add(PersistFailed{effect.token});
  }
}

void ReplicaHost::Execute(const CommandCompleted& effect) {
  const auto waiting = pending_proposals_.find(effect.proposal);
  if (waiting == pending_proposals_.end()) return;
  const ProposeCallback done = std::move(waiting->second);
  pending_proposals_.erase(waiting);
  done(effect.outcome == ProposalOutcome::kCommitted, effect.reply);
}

void ReplicaHost::Execute(const LogEvent& effect) {
  if (effect.kind == ReplicaEventKind::kHalted) halted_ = true;
  LogReplicaEvent(effect);
}

}  // namespace coltsfootfork
