#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "coltsfootfork/core/replication/replica_io.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct VoterPlannerOptions {
  // 1, 3, 5 or 7.
  std::size_t target_voters = 3;
  // A member that has not answered for so long is replaced.
  Duration dead_after = std::chrono::seconds(30);
  // A learner that has answered within this time may become a voter.
  Duration max_learner_contact_age = std::chrono::seconds(1);
};

// Chooses the next change of the voters, so that the group repairs itself and
// spreads over the availability zones. It first adds and then removes, so that
// a repair never lowers how many voters can be lost.
class VoterPlanner {
 public:
  explicit VoterPlanner(const VoterPlannerOptions& options)
      : options_(options) {}

  // `health` is the leader's view, itself first. Nothing when all is well, or
  // nobody offers itself. Call it again once the change is done.
  std::optional<ChangeVoter> Plan(const std::vector<MemberHealth>& health,
                                  const std::vector<JoinRequest>& join_requests,
                                  LogIndex commit, Time now) const;

 private:
  VoterPlannerOptions options_;
};

}  // namespace coltsfootfork
