#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/usage_pacing.h"
#include "coltsfootfork/core/gateway/placement_policy.h"
#include "coltsfootfork/core/gateway/precopy_schedule.h"
#include "coltsfootfork/core/gateway/server_performance.h"
#include "coltsfootfork/core/overload/connection_limiter.h"
#include "coltsfootfork/core/overload/server_request_budget.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/log/event.h"

namespace coltsfootfork {

// Settings of a serving process: an entry, which is the gateway to the backend
// servers, or a control process. docs/operators/serving.md documents the keys.
struct ServingSettings {
  std::string process;
  ZoneId zone;
  // IP address without a port.
  std::string ip;
  // Listening endpoints as IP:PORT; empty if the process does not serve them.
  std::string callers_listen;
  std::string ready_listen;
  std::string control_listen;
  std::string metrics_listen;
  // Port for the connections among control processes and with entries.
  std::uint16_t fleet_port = 0;
  // IP:PORT on which this process accepts these connections, if it differs from
  // FleetAddress().
  std::string fleet_listen;
  // IP addresses of some control processes; may be outdated.
  std::vector<std::string> control_seeds;
  // Set at the first start of the whole fleet, when all disks are empty.
  bool is_first_start = false;
  // Empty if the process has no disk.
  std::string data_folder;
  // Whether a data folder whose files have new inode numbers is refused as a
  // copy.
  bool refuse_copies = true;
  // Time from the signal to stop until the process is killed.
  std::chrono::milliseconds shutdown_timeout{8000};
  double retry_ratio = 0.2;
  std::chrono::milliseconds retry_window{10000};
  // Policies. Values other than the defaults serve as baselines in
  // measurements.
  PlacementPolicy placement = PowerOfDChoicesPlacement{};
  PerformancePolicy performance = IgnorePerformance{};
  UsagePacing usage = PeriodicUsage{};
  bool use_ranks = true;
  bool migrate_streams = true;
  PrecopyPolicy precopy = SinglePrecopy{};
  // See GatewayOptions.
  double backup_max_fill = 0;
  std::chrono::milliseconds evacuation_bound{5000};
  // Whether the settings state that bound: zones may then be evacuated.
  bool has_evacuation_bound = false;
  // See ColdLimitOptions.
  double cold_overage = 1;
  double cold_slack = 0;
  // Limits of the host for this process; absent ones do not restrict clients'
  // connections.
  std::optional<std::size_t> memory_bytes;
  std::optional<std::size_t> descriptors;
  // Limit for the bytes of requests that all entries together may have in
  // progress at one server.
  std::size_t server_request_limit = kDefaultServerRequestLimit;
  // Limits for all connections of clients together, instead of those that
  // follow from the host.
  std::optional<std::size_t> max_client_connections;
  std::optional<std::size_t> max_reading_bytes;
  // Maximum time to receive a request after its head.
  std::chrono::milliseconds body_timeout{30000};
  // The region of each zone.
  std::map<ZoneId, RegionId> regions;
  // For tests: fraction of disk operations that fail.
  double test_disk_fault_share = 0;
  LogLevel log_level = LogLevel::kInfo;

  ConnectionLimits MakeConnectionLimits() const;
  // Addresses (IP:PORT) at which peers reach this process and the seeds.
  std::string FleetAddress() const;
  std::vector<std::string> SeedAddresses() const;
};

// Returns nullopt and adds to `findings` if the settings are invalid. Ignores
// unknown keys, since the file may come from a newer template.
std::optional<ServingSettings> ParseServingSettings(const std::string& text,
                                                    Findings& findings);

}  // namespace coltsfootfork
