#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootfork {

// Result of one fault schedule.
struct ScheduleResult {
  // Violated invariants; empty on success.
  std::vector<std::string> problems;
  std::size_t commands = 0;
  std::size_t crashes = 0;
  std::size_t lost_disks = 0;
  std::size_t elections = 0;
  std::size_t voter_changes = 0;
};

// Runs a group under random faults derived from the seed, then ends the faults
// and checks that the group recovers. The same seed gives the same result.
ScheduleResult RunFaultSchedule(std::uint64_t seed);

}  // namespace coltsfootfork
