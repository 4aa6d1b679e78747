#pragma once

#include <chrono>
#include <map>
#include <vector>

#include "coltsfootfork/core/configuration/serving_rules.h"
#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Splits the limits of workspaces over the live entries, on the leader. It
// keeps only what the entries' last renewals said.
class LimitSplitter {
 public:
  // Entries that were silent for longer than the lease count no more.
  explicit LimitSplitter(std::chrono::milliseconds lease) : lease_(lease) {}

  // Takes one renewal of an entry and fills in its place and parts.
  void Answer(const RenewLease& renew, const ServingRules* rules, Time now,
              RenewLeaseReply& reply);
  void Clear() { entries_.clear(); }

 private:
  struct Entry {
    Time renewed_at{};
    std::map<WorkspaceId, LimitShare> wanted;
  };

  void DropSilent(Time now);

  std::chrono::milliseconds lease_;
  std::map<ProcessId, Entry> entries_;
};

}  // namespace coltsfootfork
