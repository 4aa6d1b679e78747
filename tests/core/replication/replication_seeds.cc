#include <docopt/docopt.h>

#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "core/replication/fault_schedule.h"

namespace coltsfootfork {
namespace {

constexpr char kUsage[] =
    R"(Runs seeded fault schedules over replica groups, and prints each seed that fails.

Usage:
  replication_seeds [--from=N] [--count=M]

Options:
  --from=N   The first seed [default: 1].
  --count=M  How many seeds [default: 1000].
)";

int RunSeeds(std::uint64_t from, std::uint64_t count) {
  ScheduleResult sum;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const ScheduleResult result = RunFaultSchedule(seed);
    sum.commands += result.commands;
    sum.crashes += result.crashes;
    sum.lost_disks += result.lost_disks;
    sum.elections += result.elections;
    sum.voter_changes += result.voter_changes;
    if (!result.problems.empty()) ++failed;
    for (const std::string& problem : result.problems) {
      std::cout << "seed " << seed << ": " << problem << std::endl;
    }
  }
  std::cout << count << " schedules from seed " << from << ": " << failed
            << " failed; " << sum.commands << " commands, " << sum.crashes
            << " crashes, " << sum.lost_disks << " lost folders, "
            << sum.elections << " elections, " << sum.voter_changes
            << " voter changes" << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace coltsfootfork

int main(int argc, char** argv) {
  try {
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    auto options = docopt::docopt_parse(coltsfootfork::kUsage, arguments);
    const std::int64_t from = options["--from"].asLong();
    const std::int64_t count = options["--count"].asLong();
    return coltsfootfork::RunSeeds(static_cast<std::uint64_t>(from),
                                   static_cast<std::uint64_t>(count));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << coltsfootfork::kUsage;
    return 2;
  }
}
