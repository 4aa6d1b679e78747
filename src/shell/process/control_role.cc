#include "shell/process/control_role.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>

#include "coltsfootfork/core/control_state/control_codec.h"
#include "coltsfootfork/core/replication/replica_codec.h"
#include "shell/log/event.h"
#include "shell/replica/replica_disk.h"

namespace coltsfootfork {
namespace {

// Maximum number of calls that wait for their command to be committed.
constexpr std::size_t kMaxPendingCalls = 8192;

std::chrono::milliseconds WallClock() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::unique_ptr<DiskLog> OpenDisk(const std::string& folder) {
  DiskLogOptions options;
  options.folder = folder;
  StorageError error;
  auto disk = OpenReplicaDisk(options, &error);
  if (!disk) throw std::runtime_error(error.place + ": " + error.problem);
  return disk;
}

ReplicaOptions MakeOptions(const Settings& settings) {
  ReplicaOptions options;
  options.self = settings.process;
  options.zone = settings.zone;
  options.seeds = settings.control->founders;
  if (options.seeds.empty()) options.seeds = {settings.process};
  return options;
}

VoterPlannerOptions MakePlannerOptions(const Settings& settings) {
  VoterPlannerOptions options;
  const std::size_t founders = settings.control->founders.size();
  if (founders > 0) options.target_voters = founders;
  if (founders == 0) options.target_voters = 1;
  return options;
}

}  // namespace

ControlRole::ControlRole(ProcessContext& context, std::uint64_t seed)
    : context_(context),
      disk_(OpenDisk(context.settings.data_folder)),
      service_(state_machine_.state()),
      replica_(Replica(MakeOptions(context.settings), disk_->TakeRecovered(),
                       seed, MonotonicNow()),
               state_machine_, MakePlannerOptions(context.settings)),
      inputs_([this](const ReplicaInput& input) {
        Execute(replica_.Handle(input, MonotonicNow()));
      }) {
  for (const ControlSeed& other : context.settings.control_seeds) {
    if (other.process == context.settings.process) continue;
    context_.peer_links.KeepConnected(other.process, other.address);
  }
}

void ControlRole::OnCall(const ProcessId& peer,
                         const ControlRequestFrame& call) {
  const Time now = MonotonicNow();
  const LeaderView view = MakeLeaderView(now);
  if (!view.holds_lease) return RedirectToLeader(peer, call.call);
  const auto request = DecodeControlRequest(call.request);
  if (!request) return RedirectToLeader(peer, call.call);
  ReplyOrCommand result = service_.Handle(*request, view, WallClock(), now);
  if (const auto* reply = std::get_if<ControlReply>(&result)) {
    return SendReply(peer, call.call, EncodeControlReply(*reply));
  }
  if (pending_calls_.size() >= kMaxPendingCalls) {
    return RedirectToLeader(peer, call.call);
  }
  const ProposalId proposal = next_proposal_++;
  pending_calls_[proposal] = {peer, call.call};
  inputs_.Add(Propose{proposal,
                      EncodeControlCommand(std::get<ControlCommand>(result))});
}

void ControlRole::OnReplicaFrame(const ProcessId& peer,
                                 const ReplicaFrame& frame) {
  auto message = ReadReplicaMessage(peer.value(), frame.message);
  if (!message) return;
  inputs_.Add(ReplicaMessageReceived{peer, std::move(*message)});
}

void ControlRole::Tick(Time now) {
  inputs_.Run([&] { Execute(replica_.Tick(now)); });
  AnnounceRevision();
  const LeaderView view = MakeLeaderView(now);
  service_.Tick(view, now);
  context_.metrics.Set(Gauge::kControlLeader, view.holds_lease ? 1 : 0);
  context_.metrics.Set(Gauge::kControlTerm, view.term);
  context_.metrics.Set(Gauge::kControlClaims,
                       state_machine_.state().claim_count());
  context_.metrics.Set(Gauge::kControlLeases,
                       view.holds_lease ? service_.live_leases(now) : 0);
}

LeaderView ControlRole::MakeLeaderView(Time now) const {
  const Replica& replica = replica_.replica();
  LeaderView view;
  view.holds_lease = replica.HoldsLease(now);
  view.leader = replica.leader().value_or(ProcessId());
  view.term = replica.term();
  for (const Member& member : replica.membership().members) {
    view.replicas.push_back({member.id.process, member.id.incarnation,
                             replica.IsCommittedVoter(member.id)});
  }
  return view;
}

void ControlRole::SendReply(const ProcessId& peer, std::uint64_t call,
                            std::string reply) {
  ControlReplyFrame reply_frame;
  reply_frame.call = call;
  reply_frame.acting = true;
  reply_frame.leader = context_.settings.process;
  reply_frame.reply = std::move(reply);
  context_.peer_links.Send(peer, LinkDirection::kIncoming,
                           std::move(reply_frame));
}

void ControlRole::RedirectToLeader(const ProcessId& peer, std::uint64_t call) {
  ControlReplyFrame reply_frame;
  reply_frame.call = call;
  reply_frame.leader = replica_.replica().leader().value_or(ProcessId());
  context_.peer_links.Send(peer, LinkDirection::kIncoming,
                           std::move(reply_frame));
}

void ControlRole::Execute(const std::vector<ControlReplicaEffect>& effects) {
  for (const ControlReplicaEffect& effect : effects) {
    std::visit([this](const auto& alternative) { Execute(alternative); },
               effect);
  }
}

void ControlRole::Execute(const SendReplicaMessage& effect) {
  ReplicaFrame frame{EncodeReplicaMessage(effect.message)};
  if (context_.peer_links.Send(effect.to, LinkDirection::kOutgoing, frame)) {
    return;
  }
  context_.peer_links.Send(effect.to, LinkDirection::kIncoming,
                           std::move(frame));
}

void ControlRole::Execute(const Persist& effect) {
  if (WriteToReplicaDisk(*disk_, effect)) {
    inputs_.Add(PersistDone{effect.token});
  } else {
    inputs_.Add(PersistFailed{effect.token});
  }
}

void ControlRole::Execute(const CommandCompleted& effect) {
  AnnounceRevision();
  const auto pending = pending_calls_.find(effect.proposal);
  if (pending == pending_calls_.end()) return;
  const PendingCall call = pending->second;
  pending_calls_.erase(pending);
  if (effect.outcome == ProposalOutcome::kCommitted) {
    return SendReply(call.peer, call.call, effect.reply);
  }
  // The command may still be committed. The caller retries, and the reply then
  // depends on whether it was.
  RedirectToLeader(call.peer, call.call);
}

void ControlRole::Execute(const LogEvent& effect) { LogReplicaEvent(effect); }

void ControlRole::AnnounceRevision() {
  const Revision revision = state_machine_.state().revision();
  if (revision <= announced_revision_) return;
  announced_revision_ = revision;
  context_.synchronizer.OnRevisionSeen(announced_revision_, MonotonicNow());
  // Every frame carries the revision, so an empty reply is enough to announce
  // it to the connected peers.
  context_.peer_links.SendToAll(LinkDirection::kIncoming, ControlReplyFrame());
}

}  // namespace coltsfootfork
