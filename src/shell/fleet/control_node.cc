#include "shell/fleet/control_node.h"

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

// Interval of the messages to peers and entries; well below their link
// timeouts.
constexpr milliseconds kDigestInterval{200};
constexpr milliseconds kReplicaTick{50};
constexpr milliseconds kLinkTimeout{1200};
constexpr milliseconds kReconnectDelay{250};
// A peer that sent no digest for this long is no longer listed in digests.
constexpr Duration kPeerExpiry = std::chrono::seconds(20);
// Interval at which the full directory is sent to peers in addition to updates,
// to refresh the time of the last heartbeats: several times within the expiry
// time of a server without heartbeats.
constexpr Duration kDirectoryRefreshInterval = std::chrono::minutes(3);
// Interval of digests that list the peers; rare, since each peer also announces
// itself.
constexpr milliseconds kDigestPeersInterval{1000};
constexpr milliseconds kAcceptRetryDelay{100};

}  // namespace

ControlNode::ControlNode(asio::io_context& io, ControlNodeOptions options,
                         Time now)
    : io_(io),
      options_(std::move(options)),
      acceptor_(io,
                ParseEndpoint(options_.listen.empty() ? options_.self
                                                      : options_.listen)
                    .value(),
                /*reuse_addr=*/true),
      replica_timer_(io),
      peer_timer_(io),
      usage_timer_(io),
      state_machine_({[this] { InstallPlan(state_machine_.plan().document()); },
                      [this] {
                        InstallEvacuations(
                            state_machine_.evacuations().Evacuated());
                      }}),
      bootstrap_(options_.self, options_.seeds, now),
      quorum_(options_.self),
      entry_queue_timer_(io),
      departure_timer_(io) {
  if (!options_.data_folder.empty()) {
    replica_ = std::make_unique<ReplicaHost>(
        ReplicaHostOptions{options_.self, options_.zone, options_.data_folder,
                           options_.refuse_copies, options_.seed,
                           options_.disk_fault_share},
        state_machine_,
        [this](const std::string& to, std::string bytes) {
          SendTo(to, ReplicaPayload{std::move(bytes)});
        },
        now);
    RecoverDepartures(now);
  }
  AddSeeds(options_.seeds);
  Accept();
  TickPeers();
  TickUsage();
  if (replica_) TickReplica();
}

ControlNode::~ControlNode() {
  for (auto& [name, peer] : peers_) {
    if (peer.link) peer.link->Close();
  }
  for (auto& [number, incoming] : incoming_links_) {
    if (incoming.link) incoming.link->Close();
  }
}

void ControlNode::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& seed : seeds) AddPeer(seed);
}

std::map<std::string, std::uint64_t> ControlNode::MetricValues() const {
  const bool current = quorum_.IsCurrent(MonotonicNow());
  std::map<std::string, std::uint64_t> values = {
      {"control_is_leader", is_leader() ? 1 : 0},
      {"control_is_current", current ? 1 : 0},
      {"control_voters", quorum_.voters().size()},
      {"control_peers", peers_.size()},
      {"control_entries", OwnEntriesUse().entries},
      {"control_servers", directory_.entries().size()},
      {"control_plan_version", plan_.version},
      {"control_evacuated_zones", evacuated_zones_.zones.size()},
      {"control_evacuation_revision", evacuated_zones_.revision},
      {"control_departure_log_bytes",
       departure_log_ ? departure_log_->bytes() : 0},
      {"control_waiting_changes", pending_relays_.size()},
      {"control_waiting_leavings", pending_quorum_acks_.size()},
      {"control_heartbeats_total", counts_.heartbeats},
      {"control_changes_accepted_total", counts_.changes_accepted},
      {"control_changes_refused_total", counts_.changes_refused},
      {"control_reads_refused_total", counts_.reads_refused},
      {"control_evacuation_orders_accepted_total",
       counts_.evacuation_orders_accepted},
      {"control_evacuation_orders_refused_total",
       counts_.evacuation_orders_refused},
      {"control_leavings_unheard_total", counts_.unacknowledged_drains},
  };
  values.merge(traffic_.Values());
  return values;
}

void ControlNode::Accept() {
  acceptor_.async_accept(
      lifetime_.Guard([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          OnAccepted(std::move(socket));
          return Accept();
        }
        // An immediate retry would spin, for example without free descriptors.
        auto retry_timer =
            std::make_shared<asio::steady_timer>(io_, kAcceptRetryDelay);
        retry_timer->async_wait(
            lifetime_.Guard([this, retry_timer](error_code wait_error) {
              if (!wait_error) Accept();
            }));
      }));
}

void ControlNode::OnAccepted(asio::ip::tcp::socket socket) {
  const std::uint64_t number = next_id_++;
  FrameLink::Events events;
  events.on_frame = [this, number](const std::string& frame) {
    OnIncoming(number, frame);
  };
  events.on_disconnected = [this, number] { incoming_links_.erase(number); };
  // Inserted before Accept, which may already call on_disconnected.
  incoming_links_[number];
  auto link = FrameLink::Accept(io_, std::move(socket), std::move(events));
  const auto found = incoming_links_.find(number);
  if (found != incoming_links_.end()) found->second.link = std::move(link);
}

void ControlNode::OnIncoming(std::uint64_t number, const std::string& frame) {
  const auto found = incoming_links_.find(number);
  if (found == incoming_links_.end()) return;
  IncomingLink& incoming = found->second;
  const Time now = MonotonicNow();
  auto message = DecodeFleetMessage(frame);
  if (!message) {
    Log(LogLevel::kWarning, Event::kLinkRefused,
        {{"peer", incoming.peer}, {"reason", "damaged_frame"}});
    incoming.link->Close();
    incoming_links_.erase(found);
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&*message)) {
    incoming.peer = hello->from;
    if (hello->is_entry) {
      incoming.entry = Entry();
      incoming.entry->link = incoming.link;
      if (hello->accepts_parts) incoming.link->AllowParts();
      // The entry itself requests the missing part of the directory.
      Send(*incoming.link, LivePeers(now));
      // The entry may have missed them while it was not connected.
      Send(*incoming.link, DirectoryUpdate{0, directory_.ColdRecords(now)});
    } else {
      AddPeer(hello->from);
    }
    Log(LogLevel::kInfo, Event::kLinkUp,
        {{"peer", hello->from}, {"direction", "incoming"}});
    return;
  }
  if (incoming.entry) {
    if (const auto* report = std::get_if<EntryReport>(&*message)) {
      OnEntryReport(*incoming.entry, *report, now);
    } else if (const auto* update = std::get_if<DirectoryUpdate>(&*message)) {
      const std::vector<ServerRecord> changed_records =
          MergeUpdate(*update, now);
      // An entry may learn of a drain first; the peers need the update too.
      if (!changed_records.empty()) {
        BroadcastRecords(changed_records, nullptr, now);
      }
    } else if (const auto* request =
                   std::get_if<DirectorySyncRequest>(&*message)) {
      Send(*incoming.link, MissingRecords(*request, now));
    }
    return;
  }
  if (incoming.peer.empty()) return;
  const std::string from = incoming.peer;
  std::visit([&](auto& one) { On(from, std::move(one), now); }, *message);
}

void ControlNode::AddPeer(const std::string& peer) {
  if (peer == options_.self || peer.empty()) return;
  if (!ParseEndpoint(peer)) return;
  peers_.try_emplace(peer);
}

void ControlNode::Connect(const std::string& peer, Time now) {
  Peer& target = peers_[peer];
  if (target.link || now < target.next_connect) return;
  target.next_connect = now + kReconnectDelay;
  FrameLink::Events events;
  events.on_connected = [this, peer] {
    Log(LogLevel::kInfo, Event::kLinkUp,
        {{"peer", peer}, {"direction", "outgoing"}});
    peers_[peer].full_usage_sent = false;
    peers_[peer].sent_crash_revision = 0;
    SendTo(peer,
           Hello{options_.self, /*is_entry=*/false, /*accepts_parts=*/true});
    // The peer may have restarted and not know how old its records are.
    const Time connected_at = MonotonicNow();
    SendTo(peer, DirectoryUpdate{0, directory_.RemovedRecords(connected_at)});
    SendTo(peer, DirectoryUpdate{0, directory_.ColdRecords(connected_at)});
  };
  // A peer sends its messages on the link that it opened itself.
  events.on_frame = [](const std::string& /*frame*/) {};
  events.on_disconnected = [this, peer] {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) return;
    if (found->second.link && found->second.link->is_connected()) return;
    found->second.link = nullptr;
    Log(LogLevel::kInfo, Event::kLinkDown,
        {{"peer", peer}, {"direction", "outgoing"}});
  };
  target.link =
      FrameLink::Connect(io_, ParseEndpoint(peer).value(), std::move(events));
}

void ControlNode::SendTo(const std::string& peer, const FleetMessage& message) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) return AddPeer(peer);
  if (found->second.link) Send(*found->second.link, message);
}

void ControlNode::Send(FrameLink& link, const FleetMessage& message) {
  Send(link, EncodedMessage(message));
}

void ControlNode::Send(FrameLink& link, const EncodedMessage& message) {
  traffic_.Count(message);
  link.Send(message.bytes, message.priority);
}

void ControlNode::On(const std::string& from, ControlDigest digest, Time now) {
  for (const std::string& peer : digest.peers) AddPeer(peer);
  for (const std::string& voter : digest.voters) AddPeer(voter);
  Peer& peer = peers_[from];
  if (peer.link && digest.accepts_parts) peer.link->AllowParts();
  if (!replica_ || !replica_->is_running()) quorum_.SetVoters(digest.voters);
  const bool differs = !directory_.Matches(digest.directory_digest);
  if (!differs) quorum_.OnInSync(from, now);
  if (peer.anti_entropy.ShouldRequestSync(differs, now)) {
    SendTo(from, SyncRequest());
  }
  if (digest.plan_version > plan_.version) RequestPlan(from, now);
  crashes_.Merge(digest.crashes, now);
  performance_.OnDigest(digest, now);
  InstallEvacuations(digest.evacuated);
  if (digest.leader == from && !digest.is_recovering) OnRecovered(now);
  peer.digest = std::move(digest);
  peer.digest_at = now;
}

void ControlNode::On(const std::string& from, const UsageReport& usage,
                     Time /*now*/) {
  if (peers_[from].usage.Apply(usage)) return;
  Log(LogLevel::kWarning, Event::kLinkRefused,
      {{"peer", from}, {"reason", "damaged_loads"}});
}

void ControlNode::On(const std::string& from, const ReplicaPayload& payload,
                     Time /*now*/) {
  if (replica_) replica_->OnMessage(from, payload.bytes);
}

bool ControlNode::IsLive(const Peer& peer, Time now) {
  return peer.digest && now < peer.digest_at + kLinkTimeout;
}

bool ControlNode::CanBootstrap() const {
  return options_.is_first_start && replica_ && replica_->is_uninitialized() &&
         !replica_->is_running();
}

std::vector<std::string> ControlNode::BootstrapVoters(Time now) {
  const bool self_can_bootstrap = CanBootstrap();
  const bool awaits_group = options_.is_first_start && !quorum_.has_voters();
  if (!self_can_bootstrap && !awaits_group) return {};
  std::map<std::string, ControlDigest> digests;
  for (const auto& [name, peer] : peers_) {
    if (peer.digest) digests[name] = *peer.digest;
  }
  return bootstrap_.Decide(self_can_bootstrap, digests, now);
}

ControlDigest ControlNode::Digest(Time now) {
  ControlDigest digest;
  digest.zone = options_.zone;
  digest.has_disk = replica_ != nullptr;
  digest.can_bootstrap = CanBootstrap();
  digest.bootstrap_voters = BootstrapVoters(now);
  digest.voters = {quorum_.voters().begin(), quorum_.voters().end()};
  digest.leader = Leader(now);
  if (now >= next_digest_peers_) {
    next_digest_peers_ = now + kDigestPeersInterval;
    for (const auto& [name, peer] : peers_) {
      if (peer.digest && now < peer.digest_at + kPeerExpiry) {
        digest.peers.push_back(name);
      }
    }
  }
  digest.directory_digest = directory_.digest();
  digest.plan_version = plan_.version;
  digest.accepts_parts = true;
  // The digest is the same for all peers.
  std::uint64_t revision = crashes_.revision();
  for (const auto& [name, peer] : peers_) {
    if (!peer.link || !peer.link->is_connected()) continue;
    revision = std::min(revision, peer.sent_crash_revision);
  }
  digest.crashes = crashes_.Encode(revision, now);
  digest.evacuated = EvacuationsToSend();
  digest.is_recovering = IsRecovering(now);
  return digest;
}

void ControlNode::UpdatePeers(const TotalUsage& own, Time now) {
  ControlDigest state = Digest(now);
  performance_.AddTo(state, peers_.size(), now);
  const EncodedMessage digest(state);
  std::optional<EncodedMessage> delta;
  if (const auto usage = peer_usage_.NextDelta(own)) delta.emplace(*usage);
  std::optional<EncodedMessage> full_report;
  std::optional<EncodedMessage> refresh;
  if (now >= next_directory_refresh_) {
    next_directory_refresh_ = now + kDirectoryRefreshInterval;
    refresh.emplace(DirectoryUpdate{0, directory_.Records(now)});
  }
  for (auto& [name, peer] : peers_) {
    Connect(name, now);
    if (!peer.link || !peer.link->is_connected()) continue;
    Send(*peer.link, digest);
    peer.sent_crash_revision = crashes_.revision();
    if (!peer.full_usage_sent) {
      if (!full_report) full_report.emplace(peer_usage_.FullReport());
      Send(*peer.link, *full_report);
      peer.full_usage_sent = true;
    } else if (delta) {
      Send(*peer.link, *delta);
    }
    if (refresh) Send(*peer.link, *refresh);
  }
}

void ControlNode::TickPeers() {
  const Time now = MonotonicNow();
  directory_.Expire(now);
  crashes_.Expire(now);
  CloseTimedOutLinks(now);
  const TotalUsage own = OwnEntriesUse();
  UpdatePeers(own, now);
  UpdateEntries(own, now);
  ExpirePendingAcks(now);
  peer_timer_.expires_after(kDigestInterval);
  peer_timer_.async_wait(lifetime_.Guard([this](error_code error) {
    if (!error) TickPeers();
  }));
}

void ControlNode::CloseTimedOutLinks(Time now) {
  for (auto incoming = incoming_links_.begin();
       incoming != incoming_links_.end();) {
    if (now < incoming->second.link->last_received() + kLinkTimeout) {
      ++incoming;
      continue;
    }
    Log(LogLevel::kInfo, Event::kLinkDown,
        {{"peer", incoming->second.peer},
         {"direction", "incoming"},
         {"reason", "timeout"},
         {"incomplete_bytes",
          std::to_string(incoming->second.link->incomplete_bytes())}});
    incoming->second.link->Close();
    incoming = incoming_links_.erase(incoming);
  }
}

void ControlNode::TickReplica() {
  const Time now = MonotonicNow();
  StartReplica(now);
  replica_->Tick(now);
  if (replica_->is_running()) quorum_.SetVoters(replica_->voters());
  if (is_leader()) OnRecovered(now);
  replica_timer_.expires_after(kReplicaTick);
  replica_timer_.async_wait(lifetime_.Guard([this](error_code error) {
    if (!error) TickReplica();
  }));
}

}  // namespace coltsfootfork
