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

constexpr std::chrono::milliseconds kLongestTick{50};
constexpr std::chrono::milliseconds kShortestTick{2};
constexpr std::chrono::milliseconds kRenewInterval{2000};
constexpr std::chrono::milliseconds kRenewTimeout{4000};
constexpr std::chrono::milliseconds kFetchTimeout{1500};
// The number of a call that asks a peer, not a control replica, for its state.
constexpr std::uint64_t kPeerFetchCall = ~std::uint64_t{0};
// How long the last frames may take to leave after a planned stop.
constexpr std::chrono::milliseconds kFlushTimeout{5000};

// Incarnations are start times, so that a later start is a higher number.
std::uint64_t StartTime() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// The revision that the process had seen before its start.
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

// A process that is the only control replica needs no list of them.
std::vector<ControlSeed> SeedsOf(const Settings& settings,
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
      follower_(ConfigurationSyncOptions{},
                revision_file_ ? revision_file_->highest() : 0),
      hub_(io, {settings_.process, settings_.fleet_key},
           ParseEndpoint(settings_.peer_listen).value(), MakeHubEvents()),
      address_(settings_.peer_advertise.empty()
                   ? FormatEndpoint(hub_.local_endpoint())
                   : settings_.peer_advertise),
      control_client_(hub_, SeedsOf(settings_, address_)),
      context_{io, settings_, hub_, control_client_, follower_, metrics_},
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
  WatchSignals();
  ScheduleTick();
}

Process::~Process() = default;

std::string Process::AddressLine() const {
  nlohmann::json line = {{"process", settings_.process.value()},
                         {"peer", FormatEndpoint(hub_.local_endpoint())},
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
  renewed_at_.reset();
}

PeerHubEvents Process::MakeHubEvents() {
  PeerHubEvents events;
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
    follower_.OnRevisionSeen(revision, MonotonicNow());
  };
  events.revision = [this] { return follower_.highest_seen(); };
  return events;
}

void Process::WatchSignals() {
  signals_.async_wait([this](error_code error, int) {
    if (error) return;
    Stop();
    WatchSignals();
  });
}

void Process::ScheduleTick() {
  const Time now = MonotonicNow();
  Time next = now + kLongestTick;
  if (entry_) next = std::min(next, entry_->NextDeadline().value_or(next));
  if (agent_) next = std::min(next, agent_->NextDeadline().value_or(next));
  const Duration pause = std::max<Duration>(next - now, kShortestTick);
  tick_.expires_after(pause);
  tick_.async_wait([this](error_code error) {
    if (!error) Tick();
  });
}

void Process::Tick() {
  if (flush_until_) return Finish();
  const Time now = MonotonicNow();
  if (control_) control_->Tick(now);
  control_client_.Tick(now);
  KeepHighestRevision();
  WatchConfirmation(now);
  FetchStateWhenDue(now);
  RenewLeaseWhenDue(now);
  if (agent_) agent_->Tick(now);
  if (entry_) entry_->Tick(now);
  if (stopping_ && Drained()) return Finish();
  ScheduleTick();
}

void Process::WatchConfirmation(Time now) {
  const std::optional<Reason> reason = follower_.RefusalReason(now);
  const bool unconfirmed = follower_.rules() != nullptr && reason.has_value();
  if (unconfirmed && !unconfirmed_) {
    Log(LogLevel::kError, Event::kConfigurationUnconfirmed,
        {{"reason", std::string(ReasonName(*reason))},
         {"revision", std::to_string(follower_.in_force())},
         {"highest_seen", std::to_string(follower_.highest_seen())}});
  }
  unconfirmed_ = unconfirmed;
}

void Process::KeepHighestRevision() {
  const Revision highest = follower_.highest_seen();
  // A revision that could not be kept is logged once, not with each tick.
  if (!revision_file_ || highest <= tried_to_keep_) return;
  tried_to_keep_ = highest;
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
  if (renewing_) return;
  RenewLease renewal = DescribeSelf();
  const bool changed =
      renewal.in_force != renewed_.in_force ||
      renewal.stopping != renewed_.stopping ||
      renewal.server_incarnation != renewed_.server_incarnation ||
      renewal.draining != renewed_.draining;
  if (!changed && renewed_at_ && now < *renewed_at_ + kRenewInterval) return;
  if (entry_) renewal.demand = entry_->DemandToReport(now);
  renewing_ = true;
  renewed_at_ = now;
  renewed_ = renewal;
  control_client_.Call(
      renewal, kRenewTimeout,
      [this,
       stopping = renewal.stopping](const std::optional<ControlReply>& reply) {
        renewing_ = false;
        stop_told_ = stop_told_ || stopping;
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
    follower_.OnRevisionConfirmed(renewed->revision, now);
  }
  follower_.OnDirectoryVersionSeen(renewed->directory_version, now);
  if (entry_ && follower_.rules()) entry_->OnLimitShares(*renewed);
}

void Process::FetchStateWhenDue(Time now) {
  if (fetching_) return;
  const std::optional<FetchState> fetch = follower_.Tick(now);
  if (!fetch) return;
  fetching_ = true;
  control_client_.Call(
      *fetch, kFetchTimeout,
      [this, fetch = *fetch](const std::optional<ControlReply>& reply) {
        fetching_ = false;
        const auto* state =
            reply ? std::get_if<FetchStateReply>(&*reply) : nullptr;
        if (state != nullptr) return OnState(*state);
        AskPeerForState(fetch);
      },
      now);
}

void Process::AskPeerForState(const FetchState& fetch) {
  if (follower_.highest_seen() <= follower_.in_force()) return;
  const ControlRequestFrame call{kPeerFetchCall, EncodeControlRequest(fetch)};
  hub_.Send(newest_peer_, newest_peer_direction_, call);
}

void Process::OnState(const FetchStateReply& state) {
  const ConfigurationSyncResult result =
      follower_.OnReply(state, MonotonicNow());
  if (result.outcome == ConfigurationSyncOutcome::kInForce) BringInForce();
  if (result.outcome == ConfigurationSyncOutcome::kInvalid) {
    Log(LogLevel::kError, Event::kConfigurationRefused,
        {{"findings", result.findings.ToText()}});
  }
  if (result.directory_changed && entry_) {
    entry_->OnDirectory(follower_.directory());
  }
}

void Process::BringInForce() {
  const auto& rules = follower_.rules();
  const std::shared_ptr<const Configuration> configuration(
      rules, &rules->configuration());
  Log(LogLevel::kInfo, Event::kConfigurationInForce,
      {{"revision", std::to_string(follower_.in_force())}});
  metrics_.SetRevisionInForce(follower_.in_force());
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
  if (follower_.highest_seen() > follower_.in_force()) {
    newest_peer_ = peer;
    newest_peer_direction_ = direction;
  }
  if (auto* to_agent = std::get_if<EntryToAgent>(&payload)) {
    if (agent_) agent_->OnEntryMessage(peer, std::move(*to_agent));
  } else if (auto* to_entry = std::get_if<AgentToEntry>(&payload)) {
    if (entry_) entry_->OnAgentMessage(peer, std::move(*to_entry));
  } else if (const auto* call = std::get_if<ControlRequestFrame>(&payload)) {
    OnControlCall(peer, direction, *call);
  } else if (const auto* answer = std::get_if<ControlReplyFrame>(&payload)) {
    OnControlAnswer(*answer);
  } else if (const auto* frame = std::get_if<ReplicaFrame>(&payload)) {
    if (control_) control_->OnReplicaFrame(peer, *frame);
  }
}

void Process::OnControlCall(const ProcessId& peer, LinkDirection direction,
                            const ControlRequestFrame& call) {
  if (control_ && call.call != kPeerFetchCall) {
    return control_->OnCall(peer, call);
  }
  ControlReplyFrame answer;
  answer.call = call.call;
  if (call.call == kPeerFetchCall) {
    const auto request = DecodeControlRequest(call.request);
    const auto* fetch = request ? std::get_if<FetchState>(&*request) : nullptr;
    if (fetch == nullptr) return;
    answer.reply = EncodeControlReply(follower_.ReplyToPeer(*fetch));
  }
  hub_.Send(peer, direction, answer);
}

void Process::OnControlAnswer(const ControlReplyFrame& answer) {
  if (answer.call != kPeerFetchCall) {
    return control_client_.OnAnswer(answer, MonotonicNow());
  }
  const auto reply = DecodeControlReply(answer.reply);
  if (!reply) return;
  if (const auto* state = std::get_if<FetchStateReply>(&*reply)) {
    OnState(*state);
  }
}

bool Process::Ready() const {
  return !stopping_ && follower_.rules() != nullptr &&
         !follower_.RefusalReason(MonotonicNow());
}

bool Process::Drained() const {
  return stop_told_ && (!entry_ || entry_->Drained()) &&
         (!agent_ || agent_->Drained());
}

void Process::Finish() {
  if (!flush_until_) {
    flush_until_ = MonotonicNow() + kFlushTimeout;
    if (entry_) entry_->CloseCallers();
    admin_->Stop();
    hub_.Stop();
  }
  const bool flushed = hub_.Flushed() && (!entry_ || entry_->Flushed());
  if (!flushed && MonotonicNow() < *flush_until_) return ScheduleTick();
  Log(LogLevel::kInfo, Event::kStopped, {});
  io_.stop();
}

RenewLease Process::DescribeSelf() const {
  RenewLease renewal;
  renewal.process = settings_.process;
  renewal.incarnation = incarnation_;
  renewal.zone = settings_.zone;
  renewal.address = address_;
  renewal.in_force = follower_.in_force();
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
