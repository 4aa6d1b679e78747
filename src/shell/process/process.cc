#include "shell/process/process.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "coltsfootfork/core/control_state/control_codec.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds kMaxTickInterval{50};
constexpr std::chrono::milliseconds kMinTickInterval{2};
constexpr std::chrono::milliseconds kRenewInterval{2000};
constexpr std::chrono::milliseconds kRenewTimeout{4000};
constexpr std::chrono::milliseconds kFetchTimeout{1500};
// The call number that marks a request for a peer's own state, rather than a
// call to a control replica.
constexpr std::uint64_t kPeerFetchCallNumber = ~std::uint64_t{0};
// Maximum time to send the last frames in a graceful shutdown.
constexpr std::chrono::milliseconds kFlushTimeout{5000};

// Returns the start time, in microseconds, which serves as the incarnation: a
// later start has a higher number.
std::uint64_t StartTime() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Opens the file with the highest revision that the process had seen before its
// start.
std::optional<RevisionFile> OpenRevisionFile(const std::string& folder) {
  if (folder.empty()) return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<RevisionFile>> {
        BOOST_LEAF_AUTO(file, RevisionFile::Open(folder));
        return std::optional<RevisionFile>(std::move(file));
      },
      [](const StorageError& error) -> std::optional<RevisionFile> {
        throw std::runtime_error(error.place + ": " + error.problem);
      },
      [&]() -> std::optional<RevisionFile> {
        throw std::runtime_error(folder + ": cannot be opened");
      });
}

// Without configured seeds, the process is the only control replica.
std::vector<ControlSeed> ControlSeedsFor(const Settings& settings,
                                         const std::string& own_address) {
  if (!settings.control_seeds.empty()) return settings.control_seeds;
  return {{settings.process, own_address}};
}

}  // namespace

Process::Process(boost::asio::io_context& io, Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      incarnation_(StartTime()),
      revision_file_(OpenRevisionFile(settings_.data_folder)),
      synchronizer_(ConfigurationSyncOptions{},
                    revision_file_ ? revision_file_->highest() : 0),
      peer_links_(io, {settings_.process, settings_.fleet_key},
                  ParseEndpoint(settings_.peer_listen).value(),
                  MakeLinkCallbacks()),
      address_(settings_.peer_advertise.empty()
                   ? FormatEndpoint(peer_links_.local_endpoint())
                   : settings_.peer_advertise),
      control_client_(peer_links_, ControlSeedsFor(settings_, address_)),
      context_{io,      settings_, peer_links_, control_client_, synchronizer_,
               metrics_},
      signals_(io, SIGTERM, SIGINT),
      tick_(io) {
  if (settings_.control) {
    control_ = std::make_unique<ControlRole>(context_, incarnation_);
  }
  if (settings_.agent) {
    agent_ = std::make_unique<AgentRole>(context_, incarnation_);
  }
  if (settings_.entry) {
    entry_ = std::make_unique<EntryRole>(context_, incarnation_);
  }
  admin_ = std::make_unique<AdminApi>(context_, [this] { return Ready(); });
  Log(LogLevel::kInfo, Event::kStarted,
      {{"process", settings_.process.value()},
       {"incarnation", std::to_string(incarnation_)}});
  Log(LogLevel::kInfo, Event::kListening, {{"addresses", AddressLine()}});
  HandleSignals();
  ScheduleTick();
}

Process::~Process() = default;

std::string Process::AddressLine() const {
  nlohmann::json line = {{"process", settings_.process.value()},
                         {"peer", FormatEndpoint(peer_links_.local_endpoint())},
                         {"admin", FormatEndpoint(admin_->local_endpoint())}};
  if (entry_) line["entry"] = FormatEndpoint(entry_->local_endpoint());
  if (agent_) line["engine"] = agent_->engine_address();
  return line.dump();
}

void Process::Stop() {
  if (stopping_) {
    io_.stop();
    return;
  }
  stopping_ = true;
  Log(LogLevel::kInfo, Event::kStopping, {});
  if (entry_) entry_->Stop();
  if (agent_) agent_->Stop();
  last_renewal_at_.reset();
}

PeerLinkCallbacks Process::MakeLinkCallbacks() {
  PeerLinkCallbacks events;
  events.on_up = [this](const ProcessId& peer, LinkDirection direction) {
    OnPeerUp(peer, direction);
  };
  events.on_down = [this](const ProcessId& peer, LinkDirection direction) {
    OnPeerDown(peer, direction);
  };
  events.on_payload = [this](const ProcessId& peer, LinkDirection direction,
                             Payload payload) {
    OnPayload(peer, direction, std::move(payload));
  };
  events.on_revision = [this](Revision revision) {
    synchronizer_.OnRevisionSeen(revision, MonotonicNow());
  };
  events.revision = [this] { return synchronizer_.highest_seen(); };
  return events;
}

void Process::HandleSignals() {
  signals_.async_wait([this](error_code error, int) {
    if (error) return;
    Stop();
    HandleSignals();
  });
}

void Process::ScheduleTick() {
  const Time now = MonotonicNow();
  Time next = now + kMaxTickInterval;
  if (entry_) next = std::min(next, entry_->NextDeadline().value_or(next));
  if (agent_) next = std::min(next, agent_->NextDeadline().value_or(next));
  const Duration pause = std::max<Duration>(next - now, kMinTickInterval);
  tick_.expires_after(pause);
  tick_.async_wait([this](error_code error) {
    if (!error) Tick();
  });
}

void Process::Tick() {
  if (flush_deadline_) return Finish();
  const Time now = MonotonicNow();
  if (control_) control_->Tick(now);
  control_client_.Tick(now);
  StoreHighestRevision();
  CheckConfirmation(now);
  FetchStateWhenDue(now);
  RenewLeaseWhenDue(now);
  if (agent_) agent_->Tick(now);
  if (entry_) entry_->Tick(now);
  if (stopping_ && Drained()) return Finish();
  ScheduleTick();
}

void Process::CheckConfirmation(Time now) {
  const std::optional<Reason> reason = synchronizer_.RefusalReason(now);
  const bool unconfirmed =
      synchronizer_.rules() != nullptr && reason.has_value();
  if (unconfirmed && !was_unconfirmed_) {
    Log(LogLevel::kError, Event::kConfigurationUnconfirmed,
        {{"reason", std::string(ReasonName(*reason))},
         {"revision", std::to_string(synchronizer_.in_force())},
         {"highest_seen", std::to_string(synchronizer_.highest_seen())}});
  }
  was_unconfirmed_ = unconfirmed;
}

void Process::StoreHighestRevision() {
  const Revision highest = synchronizer_.highest_seen();
  // A failure to store a revision is logged once, not at each tick.
  if (!revision_file_ || highest <= last_attempted_revision_) return;
  last_attempted_revision_ = highest;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        return revision_file_->StoreIfHigher(highest);
      },
      [](const StorageError& error) {
        Log(LogLevel::kError, Event::kStorageFailed,
            {{"place", error.place}, {"problem", error.problem}});
      },
      [] {});
}

void Process::RenewLeaseWhenDue(Time now) {
  if (renewal_in_flight_) return;
  RenewLease renewal = MakeLeaseRenewal();
  const bool changed =
      renewal.in_force != last_renewal_.in_force ||
      renewal.stopping != last_renewal_.stopping ||
      renewal.server_incarnation != last_renewal_.server_incarnation ||
      renewal.draining != last_renewal_.draining;
  if (!changed && last_renewal_at_ &&
      now < *last_renewal_at_ + kRenewInterval) {
    return;
  }
  if (entry_) renewal.demand = entry_->DemandToReport(now);
  renewal_in_flight_ = true;
  last_renewal_at_ = now;
  last_renewal_ = renewal;
  control_client_.Call(
      renewal, kRenewTimeout,
      [this,
       stopping = renewal.stopping](const std::optional<ControlReply>& reply) {
        renewal_in_flight_ = false;
        stop_reported_ = stop_reported_ || stopping;
        OnLeaseReply(reply);
      },
      now);
}

void Process::OnLeaseReply(const std::optional<ControlReply>& reply) {
  if (!reply) return;
  const auto* renewed = std::get_if<RenewLeaseReply>(&*reply);
  if (renewed == nullptr || !renewed->granted) return;
  const Time now = MonotonicNow();
  if (renewed->revision > 0) {
    synchronizer_.OnRevisionConfirmed(renewed->revision, now);
  }
  synchronizer_.OnDirectoryVersionSeen(renewed->directory_version, now);
  if (entry_ && synchronizer_.rules()) entry_->OnLimitShares(*renewed);
}

void Process::FetchStateWhenDue(Time now) {
  if (fetch_in_flight_) return;
  const std::optional<FetchState> fetch = synchronizer_.Tick(now);
  if (!fetch) return;
  fetch_in_flight_ = true;
  control_client_.Call(
      *fetch, kFetchTimeout,
      [this, fetch = *fetch](const std::optional<ControlReply>& reply) {
        fetch_in_flight_ = false;
        const auto* state =
            reply ? std::get_if<FetchStateReply>(&*reply) : nullptr;
        if (state != nullptr) return OnState(*state);
        FetchStateFromPeer(fetch);
      },
      now);
}

void Process::FetchStateFromPeer(const FetchState& fetch) {
  if (synchronizer_.highest_seen() <= synchronizer_.in_force()) return;
  const ControlRequestFrame call{kPeerFetchCallNumber,
                                 EncodeControlRequest(fetch)};
  peer_links_.Send(newer_revision_peer_, newer_revision_direction_, call);
}

void Process::OnState(const FetchStateReply& state) {
  const ConfigurationSyncResult result =
      synchronizer_.OnReply(state, MonotonicNow());
  if (result.outcome == ConfigurationSyncOutcome::kInForce) {
    ApplyConfiguration();
  }
  if (result.outcome == ConfigurationSyncOutcome::kInvalid) {
    Log(LogLevel::kError, Event::kConfigurationRefused,
        {{"findings", result.findings.ToText()}});
  }
  if (result.directory_changed && entry_) {
    entry_->OnDirectory(synchronizer_.directory());
  }
}

void Process::ApplyConfiguration() {
  const auto& rules = synchronizer_.rules();
  const std::shared_ptr<const Configuration> configuration(
      rules, &rules->configuration());
  Log(LogLevel::kInfo, Event::kConfigurationInForce,
      {{"revision", std::to_string(synchronizer_.in_force())}});
  metrics_.SetRevisionInForce(synchronizer_.in_force());
  if (entry_) entry_->OnConfiguration(configuration);
  if (agent_) agent_->OnConfiguration(configuration);
}

void Process::OnPeerUp(const ProcessId& peer, LinkDirection direction) {
  const Time now = MonotonicNow();
  if (direction == LinkDirection::kOutgoing) {
    control_client_.OnLinkUp(peer, now);
    if (entry_) entry_->OnAgentConnected(peer);
  } else if (agent_) {
    agent_->OnEntryConnected(peer);
  }
}

void Process::OnPeerDown(const ProcessId& peer, LinkDirection direction) {
  if (direction == LinkDirection::kOutgoing) {
    control_client_.OnLinkDown(peer);
    if (entry_) entry_->OnAgentDisconnected(peer);
  } else if (agent_) {
    agent_->OnEntryDisconnected(peer);
  }
}

void Process::OnPayload(const ProcessId& peer, LinkDirection direction,
                        Payload payload) {
  if (synchronizer_.highest_seen() > synchronizer_.in_force()) {
    newer_revision_peer_ = peer;
    newer_revision_direction_ = direction;
  }
  if (auto* to_agent = std::get_if<EntryToAgent>(&payload)) {
    if (agent_) agent_->OnEntryMessage(peer, std::move(*to_agent));
  } else if (auto* to_entry = std::get_if<AgentToEntry>(&payload)) {
    if (entry_) entry_->OnAgentMessage(peer, std::move(*to_entry));
  } else if (const auto* call = std::get_if<ControlRequestFrame>(&payload)) {
    OnControlCall(peer, direction, *call);
  } else if (const auto* reply_frame =
                 std::get_if<ControlReplyFrame>(&payload)) {
    OnControlReply(*reply_frame);
  } else if (const auto* frame = std::get_if<ReplicaFrame>(&payload)) {
    if (control_) control_->OnReplicaFrame(peer, *frame);
  }
}

void Process::OnControlCall(const ProcessId& peer, LinkDirection direction,
                            const ControlRequestFrame& call) {
  if (control_ && call.call != kPeerFetchCallNumber) {
    return control_->OnCall(peer, call);
  }
  ControlReplyFrame reply_frame;
  reply_frame.call = call.call;
  if (call.call == kPeerFetchCallNumber) {
    const auto request = DecodeControlRequest(call.request);
    const auto* fetch = request ? std::get_if<FetchState>(&*request) : nullptr;
    if (fetch == nullptr) return;
    reply_frame.reply = EncodeControlReply(synchronizer_.ReplyToPeer(*fetch));
  }
  peer_links_.Send(peer, direction, reply_frame);
}

void Process::OnControlReply(const ControlReplyFrame& reply_frame) {
  if (reply_frame.call != kPeerFetchCallNumber) {
    return control_client_.OnReplyFrame(reply_frame, MonotonicNow());
  }
  const auto reply = DecodeControlReply(reply_frame.reply);
  if (!reply) return;
  if (const auto* state = std::get_if<FetchStateReply>(&*reply)) {
    OnState(*state);
  }
}

bool Process::Ready() const {
  return !stopping_ && synchronizer_.rules() != nullptr &&
         !synchronizer_.RefusalReason(MonotonicNow());
}

bool Process::Drained() const {
  return stop_reported_ && (!entry_ || entry_->Drained()) &&
         (!agent_ || agent_->Drained());
}

void Process::Finish() {
  if (!flush_deadline_) {
    flush_deadline_ = MonotonicNow() + kFlushTimeout;
    if (entry_) entry_->CloseCallerConnections();
    admin_->Stop();
    peer_links_.Stop();
  }
  const bool flushed = peer_links_.Flushed() && (!entry_ || entry_->Flushed());
  if (!flushed && MonotonicNow() < *flush_deadline_) return ScheduleTick();
  Log(LogLevel::kInfo, Event::kStopped, {});
  io_.stop();
}

RenewLease Process::MakeLeaseRenewal() const {
  RenewLease renewal;
  renewal.process = settings_.process;
  renewal.incarnation = incarnation_;
  renewal.zone = settings_.zone;
  renewal.address = address_;
  renewal.in_force = synchronizer_.in_force();
  renewal.stopping = stopping_;
  std::vector<std::string> roles;
  if (entry_) roles.emplace_back("entry");
  if (agent_) roles.emplace_back("agent");
  if (control_) roles.emplace_back("control");
  for (const std::string& role : roles) {
    renewal.roles += renewal.roles.empty() ? role : "," + role;
  }
  if (agent_) agent_->DescribeServer(renewal);
  return renewal;
}

}  // namespace coltsfootfork
