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
  // Desired number of voters: 1, 3, 5 or 7.
  std::size_t target_voters = 3;
  // A member without contact for this long is replaced.
  Duration dead_after = std::chrono::seconds(30);
  // A learner is promoted only if its last contact is at most this old.
  Duration max_learner_contact_age = std::chrono::seconds(1);
};

// Chooses the next membership change that replaces dead voters and spreads the
// voters over the availability zones. It adds before it removes, so that a
// repair never lowers the number of failures that the group tolerates.
class VoterPlanner {
 public:
  explicit VoterPlanner(const VoterPlannerOptions& options)
      : options_(options) {}

  // `health` is the leader's view, the leader first. Returns no change if the
  // group is healthy or no replica asks to join. Call it again when the change
  // has completed.
  std::optional<ChangeVoter> Plan(const std::vector<MemberHealth>& health,
                                  const std::vector<JoinRequest>& join_requests,
                                  LogIndex commit, Time now) const;

 private:
  VoterPlannerOptions options_;
};

}  // namespace coltsfootfork
