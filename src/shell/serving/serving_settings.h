#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/gateway/placement_policy.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/log/event.h"

namespace coltsfootfork {

// Settings of a process that serves straight in front of backend servers: an
// entry's gateway or a control process. docs/operators/serving.md lists them.
struct ServingSettings {
  std::string process;
  ZoneId zone;
  // Without a port.
  std::string ip;
  // IP:PORT each; empty where the process does not serve it.
  std::string callers_listen;
  std::string ready_listen;
  std::string control_listen;
  std::string metrics_listen;
  // The port on which control processes talk to each other and to entries.
  std::uint16_t fleet_port = 0;
  // Where this process listens for them, if it is not where others reach it.
  std::string fleet_listen;
  // IP numbers of some control processes, perhaps out of date.
  std::vector<std::string> control_seeds;
  // The whole fleet starts for the first time, with empty disks.
  bool is_first_start = false;
  // Empty without a disk.
  std::string data_folder;
  // Whether a data folder whose files were numbered anew is taken for a copy.
  bool refuse_copies = true;
  // From the request to stop until the process is ended from outside.
  std::chrono::milliseconds shutdown_timeout{8000};
  double retry_ratio = 0.2;
  std::chrono::milliseconds retry_window{10000};
  // Policies; the others than the defaults are there to measure against.
  PlacementPolicy placement = PowerOfDChoicesPlacement{};
  bool use_ranks = true;
  bool migrate_streams = true;
  // See GatewayOptions.
  double backup_max_fill = 0;
  // For tests: the share of steps on the disk that fail.
  double test_disk_fault_share = 0;
  LogLevel log_level = LogLevel::kInfo;

  // This process, and the seeds, as their peers name them.
  std::string FleetAddress() const;
  std::vector<std::string> SeedAddresses() const;
};

// Nothing where there are findings. Keys that are not known are ignored: the
// file may come from a newer template.
std::optional<ServingSettings> ParseServingSettings(const std::string& text,
                                                    Findings& findings);

}  // namespace coltsfootfork
