#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct LeaseLimits {
  // Lease duration. Processes renew after a third of it.
  std::chrono::milliseconds lease{3000};
  // How long a process that no longer renews stays in the status.
  std::chrono::milliseconds status_retention{600000};
};

// The leader's table of process leases, and the directory of agents derived
// from it. The table is not replicated: a new leader starts with an empty one
// and receives a renewal from every live process within one lease period.
// Until then it publishes no directory, because receivers would drop the agents
// that an incomplete directory lacks.
class LeaseTable {
 public:
  explicit LeaseTable(LeaseLimits limits = {}) : limits_(limits) {}

  // Starts an empty table when this replica becomes leader, in a new term or
  // again in the same one.
  void Reset(std::uint64_t term, Time now);

  // Grants or refuses a lease. It is refused if a later incarnation of the same
  // process has replaced this one or is live, or if a newer live process has
  // the same address or backend server.
  bool Renew(const RenewLease& renew, Time now);

  // Removes processes past the status retention, and agents without a lease
  // from the directory.
  void Tick(Time now);

  // The rules with the inventory to check the directory against; may be null.
  void SetRules(std::shared_ptr<const ServingRules> rules);

  // Zero while the table is being rebuilt. Increases with each change of the
  // directory and with each term.
  std::uint64_t directory_version(Time now);
  const std::vector<DirectoryAgent>& directory(Time now);

  // The number of processes with a valid lease.
  std::size_t live_count(Time now) const;

  // Sorted by process id.
  std::vector<ProcessStatus> Status(Time now) const;

  // Reports backend servers that are missing from the inventory or contradict
  // it, and processes that were refused a lease.
  std::vector<Finding> FindingsAt(Time now) const;

  std::chrono::milliseconds lease() const { return limits_.lease; }

 private:
  struct Holder {
    RenewLease last;
    Time renewed_at{};
    bool was_live_at_last_tick = false;
    // Replaced incarnations of the process and of its backend server.
    std::vector<std::uint64_t> replaced_processes;
    std::vector<std::uint64_t> replaced_servers;
  };

  // The latest refusal of a lease to a process.
  struct Refusal {
    std::string problem;
    Time at{};
  };

  bool IsLive(const Holder& holder, Time now) const;
  bool IsReplaced(const Holder& holder, const RenewLease& renew,
                  Time now) const;
  // These return true if a newer live process has the address or the backend
  // server. A live process that is older is removed.
  bool LosesAddressConflict(const RenewLease& renew, Time now);
  bool LosesServerConflict(const RenewLease& renew, Time now);
  const Holder* FindOtherLiveHolder(const ProcessId& owner,
                                    const RenewLease& renew, Time now) const;
  bool Refuse(const RenewLease& renew, std::string problem, Time now);
  void Accept(const RenewLease& renew, Time now);
  void RemoveHolder(const ProcessId& process);
  void RemoveExpired(Time now);
  // Returns the inventory's record of the process's backend server, or null if
  // there is none or its availability zone differs.
  const InventoryServer* FindListedServer(const RenewLease& last) const;
  std::string InventoryProblem(const RenewLease& last) const;
  void RefreshDirectory(Time now);

  LeaseLimits limits_;
  std::uint64_t term_ = 0;
  Time started_at_{};
  std::map<ProcessId, Holder> holders_;
  std::map<std::string, ProcessId> by_address_;
  std::map<ServerId, ProcessId> by_server_;
  std::map<ProcessId, Refusal> refusals_;
  std::shared_ptr<const ServingRules> rules_;
  bool directory_stale_ = true;
  bool directory_built_ = false;
  std::uint64_t directory_sequence_ = 0;
  std::vector<DirectoryAgent> directory_;
};

}  // namespace coltsfootfork
