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

// Calls that may wait for the log at one time.
constexpr std::size_t kMaxWaitingCalls = 8192;

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
      service_(machine_.state()),
      replica_(Replica(MakeOptions(context.settings), disk_->TakeRecovered(),
                       seed, MonotonicNow()),
               machine_, MakePlannerOptions(context.settings)),
      inputs_([this](const ReplicaInput& input) {
        CarryOut(replica_.Handle(input, MonotonicNow()));
      }) {
  for (const ControlSeed& other : context.settings.control_seeds) {
    if (other.process == context.settings.process) continue;
    context_.hub.Keep(other.process, other.address);
  }
}

void ControlRole::OnCall(const ProcessId& peer,
                         const ControlRequestFrame& call) {
  const Time now = MonotonicNow();
  const LeaderView view = View(now);
  if (!view.holds_lease) return SendOn(peer, call.call);
  const auto request = DecodeControlRequest(call.request);
  if (!request) return SendOn(peer, call.call);
  ReplyOrCommand answer = service_.Handle(*request, view, WallClock(), now);
  if (const auto* reply = std::get_if<ControlReply>(&answer)) {
    return Answer(peer, call.call, EncodeControlReply(*reply));
  }
  if (waiting_.size() >= kMaxWaitingCalls) return SendOn(peer, call.call);
  const ProposalId proposal = next_proposal_++;
  waiting_[proposal] = {peer, call.call};
  inputs_.Add(Propose{proposal,
                      EncodeControlCommand(std::get<ControlCommand>(answer))});
}

void ControlRole::OnReplicaFrame(const ProcessId& peer,
                                 const ReplicaFrame& frame) {
  auto message = ReadReplicaMessage(peer.value(), frame.message);
  if (!message) return;
  inputs_.Add(ReplicaMessageReceived{peer, std::move(*message)});
}

void ControlRole::Tick(Time now) {
  inputs_.Run([&] { CarryOut(replica_.Tick(now)); });
  AnnounceRevision();
  const LeaderView view = View(now);
  service_.Tick(view, now);
  context_.metrics.Set(Gauge::kControlLeader, view.holds_lease ? 1 : 0);
  context_.metrics.Set(Gauge::kControlTerm, view.term);
  context_.metrics.Set(Gauge::kControlClaims, machine_.state().claim_count());
  context_.metrics.Set(Gauge::kControlLeases,
                       view.holds_lease ? service_.live_leases(now) : 0);
}

LeaderView ControlRole::View(Time now) const {
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

void ControlRole::Answer(const ProcessId& peer, std::uint64_t call,
                         std::string reply) {
  ControlReplyFrame answer;
  answer.call = call;
  answer.acting = true;
  answer.leader = context_.settings.process;
  answer.reply = std::move(reply);
  context_.hub.Send(peer, LinkDirection::kIncoming, std::move(answer));
}

void ControlRole::SendOn(const ProcessId& peer, std::uint64_t call) {
  ControlReplyFrame answer;
  answer.call = call;
  answer.leader = replica_.replica().leader().value_or(ProcessId());
  context_.hub.Send(peer, LinkDirection::kIncoming, std::move(answer));
}

void ControlRole::CarryOut(const std::vector<ControlReplicaEffect>& effects) {
  for (const ControlReplicaEffect& effect : effects) {
    std::visit([this](const auto& one) { CarryOut(one); }, effect);
  }
}

void ControlRole::CarryOut(const SendReplicaMessage& effect) {
  ReplicaFrame frame{EncodeReplicaMessage(effect.message)};
  if (context_.hub.Send(effect.to, LinkDirection::kOutgoing, frame)) return;
  context_.hub.Send(effect.to, LinkDirection::kIncoming, std::move(frame));
}

void ControlRole::CarryOut(const Persist& effect) {
  if (WriteToReplicaDisk(*disk_, effect)) {
    inputs_.Add(PersistDone{effect.token});
  } else {
    inputs_.Add(PersistFailed{effect.token});
  }
}

void ControlRole::CarryOut(const CommandCompleted& effect) {
  AnnounceRevision();
  const auto waiting = waiting_.find(effect.proposal);
  if (waiting == waiting_.end()) return;
  const WaitingCall call = waiting->second;
  waiting_.erase(waiting);
  if (effect.outcome == ProposalOutcome::kCommitted) {
    return Answer(call.peer, call.call, effect.reply);
  }
  // Asked again, the request is answered by what became of it.
  SendOn(call.peer, call.call);
}

void ControlRole::CarryOut(const LogEvent& effect) { LogReplicaEvent(effect); }

void ControlRole::AnnounceRevision() {
  const Revision revision = machine_.state().revision();
  if (revision <= announced_) return;
  announced_ = revision;
  context_.follower.OnRevisionSeen(announced_, MonotonicNow());
  // Any frame carries the revision: those who ask this replica hear at once.
  context_.hub.SendToAll(LinkDirection::kIncoming, ControlReplyFrame());
}

}  // namespace coltsfootfork
