#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/anti_entropy_timer.h"
#include "coltsfootfork/core/fleet/bootstrap_coordinator.h"
#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/fleet/plan_state_machine.h"
#include "coltsfootfork/core/fleet/quorum_tracker.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/usage_feed.h"
#include "shell/fleet/fleet_traffic.h"
#include "shell/fleet/frame_link.h"
#include "shell/fleet/replica_host.h"
#include "shell/net/lifetime.h"

namespace coltsfootfork {

struct ControlNodeOptions {
  // IP:PORT at which peers and entries reach this process; also its name.
  std::string self;
  // Where it listens, as IP:PORT; empty where that is `self`.
  std::string listen;
  ZoneId zone;
  // Addresses of some control processes, this one perhaps among them; they may
  // be out of date.
  std::vector<std::string> seeds;
  // Empty for a process that never votes.
  std::string data_folder;
  // See DiskLogOptions.
  bool refuse_copies = true;
  // The whole fleet starts for the first time.
  bool is_first_start = false;
  // For tests: the share of steps on the disk that fail.
  double disk_fault_share = 0;
  std::uint64_t seed = 0;
};

// A control process: it keeps the directory of backend servers with its peers,
// holds a replica of the routing plan where it has a disk, and tells both to
// the entries that follow it.
//
// The directory is soft state. A server's leaving is acknowledged once a
// majority of the voters knows of it; a process that has not compared notes
// with a majority lately tells its entries so, and they go elsewhere. The plan
// is replicated; any process takes changes and reads, and asks the leader.
class ControlNode {
 public:
  // Listens at once; throws boost::system::system_error when it cannot.
  ControlNode(boost::asio::io_context& io, ControlNodeOptions options,
              Time now);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Further control processes that may be there.
  void AddSeeds(const std::vector<std::string>& seeds);

  // Whether the change is committed, or is overtaken by one that is.
  using PutPlanCallback = std::function<void(bool accepted)>;
  void PutPlan(PlanDocument document, PutPlanCallback done);
  // The newest committed plan; nothing where that cannot be known now.
  using GetPlanCallback = std::function<void(std::optional<PlanDocument> plan)>;
  void GetPlan(GetPlanCallback done);
  // A heartbeat, or a server's leaving. True once everyone will hear of it.
  using AckCallback = std::function<void(bool acknowledged)>;
  void OnHeartbeat(const ServerRecord& record, AckCallback done);
  void OnDeregister(const ServerId& id, std::uint64_t incarnation,
                    AckCallback done);

  bool is_leader() const;
  const ServerDirectory& directory() const { return directory_; }
  const PlanDocument& plan() const { return plan_; }
  // For the metrics page, by name.
  std::map<std::string, std::uint64_t> MetricValues() const;

 private:
  struct Peer {
    std::shared_ptr<FrameLink> link;
    std::optional<ControlDigest> digest;
    Time digest_at;
    Time next_connect;
    AntiEntropyTimer anti_entropy;
    // What entries take that report to the peer.
    UsageReceiver usage;
    // The sum told over the present link is what the changes go on from.
    bool full_usage_sent = false;
  };
  struct Entry {
    std::shared_ptr<FrameLink> link;
    bool is_primary = false;
    // The same as for a peer.
    bool full_usage_sent = false;
    std::uint64_t last_report = 0;
    TotalUsage usage;
    AntiEntropyTimer anti_entropy;
    std::uint64_t plan_version = 0;
    std::uint64_t sent_plan_version = 0;
    Time plan_sent_at;
    // Since when its plan is older than the one here.
    std::optional<Time> outdated_since;
  };
  // A leaving that waits for a majority.
  struct PendingQuorumAck {
    std::set<std::string> acknowledged;
    AckCallback done;
    Time deadline;
  };
  // A change or a read that waits for the leader.
  struct PendingRelay {
    RelayRequest request;
    std::function<void(const RelayReply& reply)> done;
    Time deadline;
    Time next_try;
  };

  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void OnIncoming(std::uint64_t number, const std::string& frame);
  void AddPeer(const std::string& peer);
  void Connect(const std::string& peer, Time now);
  void SendTo(const std::string& peer, const FleetMessage& message);
  // Every message of this process leaves through one of these.
  void Send(FrameLink& link, const FleetMessage& message);
  void Send(FrameLink& link, const EncodedMessage& message);

  void On(const std::string& from, ControlDigest digest, Time now);
  void On(const std::string& from, const UsageReport& usage, Time now);
  void On(const std::string& from, const ReplicaPayload& payload, Time now);
  void On(const std::string& from, const DirectoryUpdate& update, Time now);
  void On(const std::string& from, const DirectoryAck& ack, Time now);
  void On(const std::string& from, const DirectorySyncRequest& request,
          Time now);
  void On(const std::string& from, const PlanRequest& request, Time now);
  void On(const std::string& from, const PlanDocument& document, Time now);
  void On(const std::string& from, const RelayRequest& request, Time now);
  void On(const std::string& from, const RelayReply& reply, Time now);
  template <typename Other>
  void On(const std::string& /*from*/, const Other& /*message*/, Time /*now*/) {
  }
  void OnEntryReport(Entry& entry, const EntryReport& report, Time now);

  void BroadcastRecords(const std::vector<ServerRecord>& records,
                        AckCallback done, Time now);
  // Takes records in, tells the entries what is new of them, and gives it back.
  std::vector<ServerRecord> MergeUpdate(const DirectoryUpdate& update,
                                        Time now);
  // Entries hear of news together with what else comes in the next moment.
  void QueueForEntries(const std::vector<ServerRecord>& records);
  void FlushEntryQueue();
  void InstallPlan(const PlanDocument& document);
  void SendPlanIfOutdated(Entry& entry, Time now);
  void RequestPlan(const std::string& peer, Time now);
  void RelayToLeader(RelayRequest request,
                     std::function<void(const RelayReply& reply)> done);
  void AttemptRelay(std::uint64_t number, Time now);
  void HandleAsLeader(const RelayRequest& request,
                      std::function<void(const RelayReply& reply)> done);

  void TickReplica();
  void TickPeers();
  void StartReplica(Time now);
  void CloseTimedOutLinks(Time now);
  bool CanBootstrap() const;
  // Who founds the group, once that is decided.
  std::vector<std::string> BootstrapVoters(Time now);
  ControlDigest Digest(Time now);
  void UpdatePeers(const TotalUsage& own, Time now);
  TotalUsage OwnEntriesUse() const;
  // Tells all entries what they take and want together; `all` is what those do
  // that report here.
  void UpdateEntries(TotalUsage all, Time now);
  PeerList LivePeers(Time now) const;
  static bool IsLive(const Peer& peer, Time now);
  void ExpirePendingAcks(Time now);
  std::string Leader(Time now) const;

  boost::asio::io_context& io_;
  ControlNodeOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer replica_timer_;
  boost::asio::steady_timer peer_timer_;
  PlanStateMachine plan_state_machine_;
  std::unique_ptr<ReplicaHost> replica_;
  BootstrapCoordinator bootstrap_;
  QuorumTracker quorum_;
  ServerDirectory directory_;
  PlanDocument plan_;
  std::map<std::string, Peer> peers_;
  // Accepted links; those of entries have an Entry.
  struct IncomingLink {
    std::shared_ptr<FrameLink> link;
    std::string peer;
    std::optional<Entry> entry;
  };
  std::map<std::uint64_t, IncomingLink> incoming_links_;
  std::uint64_t next_id_ = 1;
  // Since the start.
  struct Counts {
    std::uint64_t heartbeats = 0;
    std::uint64_t changes_accepted = 0;
    std::uint64_t changes_refused = 0;
    std::uint64_t reads_refused = 0;
    std::uint64_t unacknowledged_drains = 0;
  };
  Counts counts_;
  Time next_directory_refresh_;
  Time next_digest_peers_;
  Time next_plan_request_;
  Time next_peer_list_;
  // Entries are asked for what differs one at a time.
  Time next_entry_sync_;
  // What was told to the other control processes, and to the entries.
  UsagePublisher peer_usage_;
  UsagePublisher entry_usage_;
  std::vector<ServerRecord> entry_queue_;
  boost::asio::steady_timer entry_queue_timer_;
  FleetTraffic traffic_;
  std::map<std::uint64_t, PendingQuorumAck> pending_quorum_acks_;
  std::map<std::uint64_t, PendingRelay> pending_relays_;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
