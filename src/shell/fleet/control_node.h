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
#include "coltsfootfork/core/fleet/crash_ledger.h"
#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/fleet/fleet_state_machine.h"
#include "coltsfootfork/core/fleet/incarnation_resolver.h"
#include "coltsfootfork/core/fleet/performance_exchange.h"
#include "coltsfootfork/core/fleet/quorum_tracker.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/usage_feed.h"
#include "coltsfootfork/core/fleet/usage_pacing.h"
#include "shell/fleet/departure_log.h"
#include "shell/fleet/fleet_traffic.h"
#include "shell/fleet/frame_link.h"
#include "shell/fleet/replica_host.h"
#include "shell/net/lifetime.h"

namespace coltsfootfork {

struct ControlNodeOptions {
  // IP:PORT at which peers and entries reach this process; identifies the
  // process.
  std::string self;
  // IP:PORT to listen on; empty to listen on `self`.
  std::string listen;
  ZoneId zone;
  // Addresses of some control processes, possibly outdated and possibly
  // including this process.
  std::vector<std::string> seeds;
  // Empty for a process that holds no replica and never votes.
  std::string data_folder;
  // See DiskLogOptions.
  bool refuse_copies = true;
  // True at the first start of the whole fleet: the process may help to
  // bootstrap the replica group.
  bool is_first_start = false;
  UsagePacing usage = PeriodicUsage{};
  // For tests: the probability that a step on the disk fails.
  double disk_fault_share = 0;
  std::uint64_t seed = 0;
};

// A control process. Maintains the directory of backend servers together with
// its peers, holds a replica of the routing plan and of the evacuated zones if
// it has a disk, and sends all of them to its subscribed entries.
//
// The directory is kept in memory, except that draining and removed servers are
// also stored in a DepartureLog. Draining or deregistration of a server is
// acknowledged once a majority of the voters has it on disk. A process that has
// not exchanged digests with a majority recently reports itself as not current,
// and its entries subscribe to another process. The plan is replicated by Raft:
// any process accepts changes and reads and forwards them to the leader.
class ControlNode {
 public:
  // Starts to listen; throws boost::system::system_error if that fails.
  ControlNode(boost::asio::io_context& io, ControlNodeOptions options,
              Time now);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Adds addresses of control processes that may exist.
  void AddSeeds(const std::vector<std::string>& seeds);

  // `accepted` is true if the change or one of an equal or higher version is
  // committed.
  using PutPlanCallback = std::function<void(bool accepted)>;
  void PutPlan(PlanDocument document, PutPlanCallback done);
  // `plan` is the newest committed plan, or nullopt if no leader confirmed it
  // in time.
  using GetPlanCallback = std::function<void(std::optional<PlanDocument> plan)>;
  void GetPlan(GetPlanCallback done);
  // Orders the evacuation of a zone, or its end. Returns a number for
  // CancelEvacuationOrder. `outcome` is nullopt if no leader committed the
  // order in time.
  using EvacuationCallback =
      std::function<void(std::optional<EvacuationOutcome> outcome)>;
  std::uint64_t OrderEvacuation(const ZoneId& zone, bool is_start,
                                EvacuationCallback done);
  // Stops trying to commit the order, whose sender no longer waits for it. The
  // callback is not called.
  void CancelEvacuationOrder(std::uint64_t number);
  const EvacuatedZones& evacuated_zones() const { return evacuated_zones_; }

  // For a drain or deregistration, `acknowledged` is true once a majority of
  // the voters has it on disk, and false after a timeout. Other heartbeats are
  // acknowledged at once. `incarnation` zero deregisters the currently known
  // incarnation; it is not acknowledged for an unknown server.
  using AckCallback = std::function<void(bool acknowledged)>;
  void OnHeartbeat(const ServerRecord& reported, AckCallback done);
  void OnDeregister(const ServerId& id, std::uint64_t incarnation,
                    AckCallback done);

  bool is_leader() const;
  const ServerDirectory& directory() const { return directory_; }
  const PlanDocument& plan() const { return plan_; }
  // Values for the metrics page by metric name.
  std::map<std::string, std::uint64_t> MetricValues() const;

 private:
  struct Peer {
    std::shared_ptr<FrameLink> link;
    std::optional<ControlDigest> digest;
    Time digest_at;
    Time next_connect;
    AntiEntropyTimer anti_entropy;
    // Total usage of the entries whose primary control process is the peer.
    UsageReceiver usage;
    // True if a full usage report was sent on the current link, so that deltas
    // can follow.
    bool full_usage_sent = false;
    // Revision of the crash ledger last sent on the current link.
    std::uint64_t sent_crash_revision = 0;
  };
  struct Entry {
    std::shared_ptr<FrameLink> link;
    bool is_primary = false;
    // See Peer.
    bool full_usage_sent = false;
    std::uint64_t sent_crash_revision = 0;
    PerformanceExchange::Sent sent_performance;
    // Number of the last report received, and of the last one that a published
    // usage includes.
    std::uint64_t last_report = 0;
    std::uint64_t included_report = 0;
    TotalUsage usage;
    AntiEntropyTimer anti_entropy;
    // Version that the entry reported, and version last sent to the entry.
    std::uint64_t plan_version = 0;
    std::uint64_t sent_plan_version = 0;
    Time plan_sent_at;
    // When the entry's plan became older than the plan of this process.
    std::optional<Time> outdated_since;
  };
  // A drain or deregistration that waits until a majority of the voters has it
  // on disk.
  struct PendingQuorumAck {
    // The processes that have it on disk.
    std::set<std::string> acknowledged;
    AckCallback done;
    Time deadline;
  };
  // A change or a read that waits for the leader's reply.
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
  // All messages are sent through these overloads, which count the traffic.
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
  void OnDeparturesSynced(const std::string& process, std::uint64_t token);

  void BroadcastRecords(const std::vector<ServerRecord>& records,
                        AckCallback done, Time now);
  // Merges the records into the directory and queues the changed ones for the
  // entries. Returns the changed records.
  std::vector<ServerRecord> MergeUpdate(const DirectoryUpdate& update,
                                        Time now);
  // Sends the records to the entries after a short delay, batched with further
  // ones.
  void QueueForEntries(const std::vector<ServerRecord>& records);
  void FlushEntryQueue();
  DirectorySyncRequest SyncRequest() const;
  // Returns what the sender of the request lacks.
  DirectoryUpdate MissingRecords(const DirectorySyncRequest& request,
                                 Time now) const;
  // Reads the departures that are on disk into the directory.
  void RecoverDepartures(Time now);
  // Writes the departures among the servers of the records to the disk soon,
  // and then calls `done`, unless it is null. After a failed write, and without
  // a disk, `done` is never called.
  void SyncDepartures(const std::vector<ServerRecord>& records,
                      std::function<void()> done, Time now);
  void ScheduleDepartureWrite(Time now);
  void WriteDepartures(Time now);
  void InstallPlan(const PlanDocument& document);
  void InstallEvacuations(const EvacuatedZones& evacuated);
  void InstallEvacuations(const std::optional<EvacuatedZones>& evacuated) {
    if (evacuated) InstallEvacuations(*evacuated);
  }
  // Returns nullopt if no zone was ever evacuated.
  std::optional<EvacuatedZones> EvacuationsToSend() const;
  // Returns true while this process may not know all that was committed before
  // it started or before it was elected leader.
  bool IsRecovering(Time now) const;
  // Notes that this process knows what was committed before it started, and
  // tells the subscribed entries, which wait for that.
  void OnRecovered(Time now);
  void SendUpdateToEntries(Time now);
  void HandleEvacuationAsLeader(
      const RelayRequest& request,
      std::function<void(const RelayReply& reply)> done);
  void SendPlanIfOutdated(Entry& entry, Time now);
  void RequestPlan(const std::string& peer, Time now);
  // Returns the number of the pending relay.
  std::uint64_t RelayToLeader(
      RelayRequest request, std::function<void(const RelayReply& reply)> done);
  void AttemptRelay(std::uint64_t number, Time now);
  void HandleAsLeader(const RelayRequest& request,
                      std::function<void(const RelayReply& reply)> done);

  void TickReplica();
  void TickPeers();
  void StartReplica(Time now);
  void CloseTimedOutLinks(Time now);
  bool CanBootstrap() const;
  // Returns the bootstrap voters once they are decided, else an empty list.
  std::vector<std::string> BootstrapVoters(Time now);
  ControlDigest Digest(Time now);
  void UpdatePeers(const TotalUsage& own, Time now);
  EntryUpdate MakeEntryUpdate(Time now) const;
  TotalUsage OwnEntriesUse() const;
  // Sends the total usage, the state of this process and the plan to the
  // subscribed entries. `own` is the usage of the entries that report here.
  void UpdateEntries(const TotalUsage& own, Time now);
  // Adds the usage of the peers' entries.
  TotalUsage AllEntriesUse(TotalUsage own, Time now) const;
  // Publishes changed load between the periodic updates.
  void TickUsage();
  void SendChangedUsageToPeers(const TotalUsage& own);
  void SendChangedUsageToEntries(const TotalUsage& all, Time now);
  PeerList LivePeers(Time now) const;
  static bool IsLive(const Peer& peer, Time now);
  void ExpirePendingAcks(Time now);
  std::string Leader(Time now) const;

  boost::asio::io_context& io_;
  ControlNodeOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer replica_timer_;
  boost::asio::steady_timer peer_timer_;
  boost::asio::steady_timer usage_timer_;
  FleetStateMachine state_machine_;
  std::unique_ptr<ReplicaHost> replica_;
  BootstrapCoordinator bootstrap_;
  QuorumTracker quorum_;
  ServerDirectory directory_;
  IncarnationResolver incarnations_;
  // What entries reported of crashed engines, here or to a peer.
  CrashLedger crashes_;
  PerformanceExchange performance_;
  PlanDocument plan_;
  EvacuatedZones evacuated_zones_;
  // This process has known, as the leader or from the leader's digest, what was
  // committed before it started.
  bool has_recovered_ = false;
  std::map<std::string, Peer> peers_;
  // A link accepted from a peer or an entry; `entry` is set for an entry.
  struct IncomingLink {
    std::shared_ptr<FrameLink> link;
    std::string peer;
    std::optional<Entry> entry;
  };
  std::map<std::uint64_t, IncomingLink> incoming_links_;
  // Next number of an incoming link, acknowledgement token or relay request.
  std::uint64_t next_id_ = 1;
  // Counted since the start of the process.
  struct Counts {
    std::uint64_t heartbeats = 0;
    std::uint64_t changes_accepted = 0;
    std::uint64_t changes_refused = 0;
    std::uint64_t reads_refused = 0;
    std::uint64_t evacuation_orders_accepted = 0;
    std::uint64_t evacuation_orders_refused = 0;
    std::uint64_t unacknowledged_drains = 0;
  };
  Counts counts_;
  Time next_directory_refresh_;
  Time next_digest_peers_;
  Time next_plan_request_;
  Time next_peer_list_;
  // Directory syncs are requested from one entry at a time.
  Time next_entry_sync_;
  // Usage published to the other control processes and to the entries.
  UsagePublisher peer_usage_;
  UsagePublisher entry_usage_;
  std::vector<ServerRecord> entry_queue_;
  boost::asio::steady_timer entry_queue_timer_;
  // Set if the process has a data folder.
  std::optional<DepartureLog> departure_log_;
  // Departures that the next write stores, and what waits for that write.
  std::vector<ServerRecord> unsynced_departures_;
  std::vector<std::function<void()>> departure_waiters_;
  bool departure_write_scheduled_ = false;
  Time next_departure_write_;
  boost::asio::steady_timer departure_timer_;
  FleetTraffic traffic_;
  std::map<std::uint64_t, PendingQuorumAck> pending_quorum_acks_;
  std::map<std::uint64_t, PendingRelay> pending_relays_;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
