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
  // How long a renewal holds. Processes renew at a third of it.
  std::chrono::milliseconds lease{3000};
  // How long a silent process still stands in the status.
  std::chrono::milliseconds status_retention{600000};
};

// The leases of all processes as the leader knows them, and the directory of
// agents made from them. It is not replicated: a new leader starts with an
// empty table and hears from every living process within one lease. Until
// then it hands out no directory, so that nobody drops an agent on its word.
class LeaseTable {
 public:
  explicit LeaseTable(LeaseLimits limits = {}) : limits_(limits) {}

  // A leadership begins, in a new term or again in the same one.
  void Reset(std::uint64_t term, Time now);

  // Grants or refuses a lease. Refused are an incarnation that another one of
  // the same name has replaced, one older than a live one, and a process whose
  // address or backend server a newer live process has.
  bool Renew(const RenewLease& renew, Time now);

  // Drops processes that were silent too long and agents without a lease.
  void Tick(Time now);

  // The inventory that the directory is checked against; may be null.
  void SetRules(std::shared_ptr<const ServingRules> rules);

  // Zero while the table is being rebuilt. It goes up with each change of the
  // directory and with each term.
  std::uint64_t directory_version(Time now);
  const std::vector<DirectoryAgent>& directory(Time now);

  // How many processes hold a lease.
  std::size_t live_count(Time now) const;

  // In the order of the processes' names.
  std::vector<ProcessStatus> Status(Time now) const;

  // Backend servers that the inventory lacks or contradicts, and names and
  // addresses that two processes claim.
  std::vector<Finding> FindingsAt(Time now) const;

  std::chrono::milliseconds lease() const { return limits_.lease; }

 private:
  struct Holder {
    RenewLease last;
    Time renewed_at{};
    // Whether the lease was live when the directory was last looked at.
    bool was_live_at_last_tick = false;
    // Incarnations that later ones have replaced, of the process and of its
    // backend server.
    std::vector<std::uint64_t> replaced_processes;
    std::vector<std::uint64_t> replaced_servers;
  };

  // A process that was refused because a newer one has its name or address.
  struct Refusal {
    std::string problem;
    Time at{};
  };

  bool IsLive(const Holder& holder, Time now) const;
  bool IsReplaced(const Holder& holder, const RenewLease& renew,
                  Time now) const;
  // Whether another live process has the address or the server and is newer.
  bool LosesAddressConflict(const RenewLease& renew, Time now);
  bool LosesServerConflict(const RenewLease& renew, Time now);
  const Holder* FindOtherLiveHolder(const ProcessId& owner,
                                    const RenewLease& renew, Time now) const;
  bool Refuse(const RenewLease& renew, std::string problem, Time now);
  void Accept(const RenewLease& renew, Time now);
  void RemoveHolder(const ProcessId& process);
  void RemoveExpired(Time now);
  // The inventory's entry of a backend server that is where it should be.
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
