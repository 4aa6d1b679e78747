#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/anti_entropy_timer.h"
#include "coltsfootfork/core/fleet/control_selector.h"
#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/fleet/performance_exchange.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/fleet/usage_feed.h"
#include "coltsfootfork/core/fleet/usage_pacing.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/fleet/fleet_traffic.h"
#include "shell/fleet/frame_link.h"
#include "shell/net/lifetime.h"

namespace coltsfootfork {

struct ControlSubscriberOptions {
  // The entry's name, unique in the fleet.
  std::string name;
  std::vector<std::string> seeds;
  std::uint64_t seed = 0;
  ZoneId zone{};
  UsagePacing usage = PeriodicUsage{};
  // Calls wait until the entry knows the evacuated zones. False where zones are
  // not evacuated: after a restart of the fleet, the entry then serves as soon
  // as it has a plan, also while no leader is elected.
  bool awaits_evacuations = true;
};

struct ControlSubscriberEvents {
  std::function<void(const PlanDocument& plan)> on_plan;
  std::function<void(const ServerDirectory& directory)> on_directory;
  // The evacuated zones have changed. Null for an entry that ignores them.
  std::function<void(const EvacuatedZones& evacuated)> on_evacuations;
  // Load and unmet demand of the other entries' calls, and the number of all
  // entries.
  std::function<void(FleetLoad others, FleetDemand demand,
                     std::uint32_t entries)>
      on_usage;
  // Return this entry's load and demand; called a few times a second.
  std::function<FleetLoad()> own_load;
  std::function<FleetDemand()> own_demand;
  // Returns the entry's crash ledger, into which on_crashes merges what the
  // other processes know. Null for an entry that keeps none.
  std::function<const CrashLedger&()> crash_ledger;
  std::function<void(const EncodedCrashes& crashes)> on_crashes;
  // Returns what is to be reported of the servers' performance since its last
  // call; called about once a second. Null for an entry that ignores it.
  std::function<PerformanceSums()> take_performance;
  std::function<void(const PerformanceChanges& changes)> on_performance;
};

// Keeps an entry subscribed to two control processes at a time, so that the
// entry misses no update if one of them freezes or is partitioned. Replaces a
// process that times out or has lost contact with the quorum.
class ControlSubscriber {
 public:
  ControlSubscriber(boost::asio::io_context& io,
                    ControlSubscriberOptions options,
                    ControlSubscriberEvents events);
  ~ControlSubscriber();
  ControlSubscriber(const ControlSubscriber&) = delete;
  ControlSubscriber& operator=(const ControlSubscriber&) = delete;

  // Adds addresses of control processes to which the entry can subscribe.
  void AddSeeds(const std::vector<std::string>& seeds);

  // Handles a server's drain notice for the incarnation, received in a response
  // to this entry. Takes effect in the directory at once and is sent to
  // control.
  void OnDrainNotice(const ServerId& server, std::uint64_t incarnation,
                     Time now);

  // Returns true if the entry has at least once had the same plan and directory
  // as a current control process.
  bool has_synced() const { return synced_; }
  const ServerDirectory& directory() const { return directory_; }
  // Values for the metrics page by metric name.
  std::map<std::string, std::uint64_t> MetricValues() const {
    return traffic_.Values();
  }

 private:
  // The usage that this entry sent in a report.
  struct SentReport {
    std::uint64_t number = 0;
    TotalUsage usage;
  };
  struct Subscription {
    std::shared_ptr<FrameLink> link;
    std::string address;
    std::uint64_t attempt = 0;
    // When the process ceased to be current.
    Time stale_since;
    bool current = false;
    Time connected_since;
    AntiEntropyTimer anti_entropy;
    // The usage of all entries, as published by the control process, and the
    // reports of this entry, one of which that usage includes.
    UsageReceiver total_usage;
    std::deque<SentReport> sent_reports;
    std::uint64_t next_report = 1;
    // Revision of the crash ledger last sent on the current link.
    std::uint64_t sent_crash_revision = 0;
  };

  void Tick();
  // Reports changed load between the periodic reports.
  void TickUsage();
  void ReportChangedLoad();
  void Connect(std::size_t index, Time now);
  void OnFrame(std::size_t index, const std::string& frame);
  void OnUpdate(std::size_t index, const EntryUpdate& update, Time now);
  void OnEvacuations(const EvacuatedZones& evacuated);
  // Passes the first plan on, and each later one as it arrives: from now on the
  // entry knows the evacuated zones.
  void PassFirstPlan();
  // Passes the usage of the other entries to on_usage: the total less the
  // included report of this entry.
  void NotifyUsage(Subscription& subscription, std::uint64_t included_report);
  ServerId ServerIdOf(ServerKey key) const;
  // Deletes the ids of servers that are no longer in the directory.
  void TrimServerIds();
  // Replaces at most one control process by a better one.
  void SwitchToBetter(Time now);
  void Send(Subscription& subscription, const FleetMessage& message);
  void RequestSync(Subscription& subscription);
  void OnDirectoryUpdate(const DirectoryUpdate& directory_update, Time now);
  void Report(std::size_t index);
  // Returns what has changed in the entry's crash ledger since it was last sent
  // on this link.
  EncodedCrashes UnsentCrashes(Subscription& subscription);
  // `reason` is for the log.
  void DropUnhealthy(std::size_t index, const char* reason, Time now);
  std::size_t PrimaryIndex() const;

  boost::asio::io_context& io_;
  ControlSubscriberOptions options_;
  ControlSubscriberEvents events_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer usage_timer_;
  // The first is for Role::kSameZone, the second for Role::kOtherZone.
  std::array<Subscription, 2> subscriptions_;
  ControlSelector selector_;
  Time next_switch_;
  Time next_performance_;
  // Number of entries in the usage published last.
  std::uint32_t entries_ = 0;
  // Ids of the servers in the directory and of those that handle this entry's
  // calls.
  std::map<ServerKey, ServerId> server_ids_;
  FleetTraffic traffic_;
  std::uint64_t next_attempt_ = 1;
  ServerDirectory directory_;
  std::uint64_t plan_version_ = 0;
  // Revision of the evacuated zones in force.
  std::uint64_t evacuation_revision_ = 0;
  // A control process that is current and does not recover has told the
  // evacuated zones.
  bool knows_evacuations_;
  // The newest plan that arrived before that.
  std::optional<PlanDocument> first_plan_;
  bool synced_ = false;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
