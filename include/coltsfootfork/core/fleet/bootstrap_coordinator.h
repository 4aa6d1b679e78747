#pragma once

#include <map>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Selects the bootstrap voters of the replica group at a fleet's first start.
// No setting states how many processes have a disk. The process with the lowest
// address among the seeds therefore collects the digests of the other processes
// and then selects all processes that can bootstrap. The replication protocol
// forms the group itself.
class BootstrapCoordinator {
 public:
  // `self` and `seeds` are addresses (IP:PORT).
  BootstrapCoordinator(std::string self, const std::vector<std::string>& seeds,
                       Time start);

  // Returns the bootstrap voters once they are decided, else an empty list.
  // `digests` holds the newest digest of each other control process.
  std::vector<std::string> Decide(
      bool self_can_bootstrap,
      const std::map<std::string, ControlDigest>& digests, Time now);

 private:
  std::string self_;
  std::vector<std::string> seeds_;
  Time start_;
  std::vector<std::string> bootstrap_voters_;
};

}  // namespace coltsfootfork
