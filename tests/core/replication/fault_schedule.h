#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootfork {

// What one schedule has shown.
struct ScheduleResult {
  // Empty when everything held.
  std::vector<std::string> problems;
  std::size_t commands = 0;
  std::size_t crashes = 0;
  std::size_t lost_disks = 0;
  std::size_t elections = 0;
  std::size_t voter_changes = 0;
};

// Runs a group under the faults that the seed draws, then heals it and checks
// that it works again. The same seed gives the same result.
ScheduleResult RunFaultSchedule(std::uint64_t seed);

}  // namespace coltsfootfork
