#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/anti_entropy_timer.h"
#include "coltsfootfork/core/fleet/control_selector.h"
#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/fleet/usage_feed.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/fleet/fleet_traffic.h"
#include "shell/fleet/frame_link.h"
#include "shell/net/lifetime.h"

namespace coltsfootfork {

struct ControlSubscriberOptions {
  // The entry's name among its peers.
  std::string name;
  std::vector<std::string> seeds;
  std::uint64_t seed = 0;
  ZoneId zone{};
};

struct ControlSubscriberEvents {
  std::function<void(const PlanDocument& plan)> on_plan;
  std::function<void(const ServerDirectory& directory)> on_directory;
  // What the other entries' calls take, what they want, and how many entries
  // there are.
  std::function<void(FleetLoad others, FleetDemand demand,
                     std::uint32_t entries)>
      on_usage;
  // The entry's own, asked for a few times a second.
  std::function<FleetLoad()> own_load;
  std::function<FleetDemand()> own_demand;
};

// An entry's view of control. It follows two control processes at a time, so
// that one that freezes or is cut off hides nothing, and leaves one that is
// silent or has lost touch with a majority for another.
class ControlSubscriber {
 public:
  ControlSubscriber(boost::asio::io_context& io,
                    ControlSubscriberOptions options,
                    ControlSubscriberEvents events);
  ~ControlSubscriber();
  ControlSubscriber(const ControlSubscriber&) = delete;
  ControlSubscriber& operator=(const ControlSubscriber&) = delete;

  // Further control processes that may be asked.
  void AddSeeds(const std::vector<std::string>& seeds);

  // A server has said, in an answer to this entry, that the incarnation leaves.
  // It counts here at once, and control is told.
  void OnDrainNotice(const ServerId& server, std::uint64_t incarnation,
                     Time now);

  // A control process that is in touch with a majority has told this entry all
  // that it holds, at least once.
  bool has_synced() const { return synced_; }
  const ServerDirectory& directory() const { return directory_; }
  // For the metrics page, by name.
  std::map<std::string, std::uint64_t> MetricValues() const {
    return traffic_.Values();
  }

 private:
  // What this entry has reported over a link.
  struct SentReport {
    std::uint64_t number = 0;
    TotalUsage usage;
  };
  struct Subscription {
    std::shared_ptr<FrameLink> link;
    std::string address;
    std::uint64_t attempt = 0;
    // Since when the process has not been current.
    Time stale_since;
    bool current = false;
    Time connected_since;
    AntiEntropyTimer anti_entropy;
    // What all entries take and want, as the control process tells, and this
    // entry's reports of which the sum may include the last or an earlier one.
    UsageReceiver total_usage;
    std::deque<SentReport> sent_reports;
    std::uint64_t next_report = 1;
  };

  void Tick();
  void Connect(std::size_t index, Time now);
  void OnFrame(std::size_t index, const std::string& frame);
  void OnUpdate(std::size_t index, const EntryUpdate& update, Time now);
  // What others take and want, by the sums and this entry's part of them.
  void PublishUsage(Subscription& subscription, std::uint64_t report);
  ServerId ServerIdOf(ServerKey key) const;
  // Forgets the names of servers that have left long ago.
  void TrimServerIds();
  // Leaves a control process for a better one, one at a time.
  void SwitchToBetter(Time now);
  void Send(Subscription& subscription, const FleetMessage& message);
  void OnDirectoryUpdate(const DirectoryUpdate& directory_update, Time now);
  void Report(std::size_t index);
  void DropUnhealthy(std::size_t index, Time now);
  std::size_t PrimaryIndex() const;

  boost::asio::io_context& io_;
  ControlSubscriberOptions options_;
  ControlSubscriberEvents events_;
  boost::asio::steady_timer timer_;
  // The first is the near one.
  std::array<Subscription, 2> subscriptions_;
  ControlSelector selector_;
  Time next_switch_;
  // Servers of the directory, and those that this entry's calls are at.
  std::map<ServerKey, ServerId> server_ids_;
  FleetTraffic traffic_;
  std::uint64_t next_attempt_ = 1;
  ServerDirectory directory_;
  std::uint64_t plan_version_ = 0;
  bool synced_ = false;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
