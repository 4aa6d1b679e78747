#pragma once

#include <map>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Names the founders of the replica group at a fleet's first start. Nobody is
// told how many processes have a disk, so one process, the first of the seeds
// that all were told, waits until it has heard of them and then names all that
// may found. The group itself is founded by the replicas' own protocol.
class BootstrapCoordinator {
 public:
  // Processes are named by their addresses.
  BootstrapCoordinator(std::string self, const std::vector<std::string>& seeds,
                       Time start);

  // The founders, once they are settled; else empty. `heard` holds the newest
  // digest of each other control process.
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
