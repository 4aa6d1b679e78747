#include <docopt/docopt.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>

#include "soak/soak_run.h"

namespace {

constexpr char kHelp[] =
    R"(Plays seeded faults on real processes and checks what must always hold.

Usage:
  coltsfootfork_soak [--seed=N] [--runs=N] [--seconds=N] [--recovers=N]
                     [--entries=N] [--logs=DIR] [--whole-disks] [--planned]
                     [--plant]
  coltsfootfork_soak --help

Options:
  --seed=N     The first run's seed; each further run takes the next [default: 1].
  --runs=N     How many runs [default: 1].
  --seconds=N  How long faults come in each [default: 10].
  --recovers=N  A recovery that takes more seconds is a finding; 0: no matter how
                long it takes [default: 0].
  --entries=N  How many entries [default: 2].
  --logs=DIR   Keeps the logs of runs with findings there.
  --whole-disks  No step on a disk fails; else 2 in 1,000 do.
  --planned    Planned work only: graceful shutdowns, reloads, drains,
               deregistrations, cold servers and evacuations. They must cut off no call.
  --plant      Lets a backend server lie about what it has run: the checks must
               find it.
)";

int ServedSlowCalls(const coltsfootfork::SoakRun& soak) {
  int served = 0;
  for (const auto& [kind, count] : soak.slow_load().served()) served += count;
  return served;
}

}  // namespace

int main(int argc, char** argv) {
  // The address sanitizer keeps freed memory in a quarantine, which would count
  // as memory of the entries.
  setenv("ASAN_OPTIONS",
         "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
  const auto arguments =
      docopt::docopt(kHelp, {argv + 1, argv + argc}, /*help=*/true);
  coltsfootfork::SoakOptions options;
  options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  options.duration = std::chrono::seconds(arguments.at("--seconds").asLong());
  if (arguments.at("--whole-disks").asBool()) options.disk_fault_share = 0;
  if (arguments.at("--planned").asBool()) {
    options.mix = coltsfootfork::FaultMix::kPlanned;
    options.disk_fault_share = 0;
  }
  options.entries =
      static_cast<std::size_t>(arguments.at("--entries").asLong());
  options.plant_fault = arguments.at("--plant").asBool();
  options.recovery_limit =
      std::chrono::seconds(arguments.at("--recovers").asLong());
  if (arguments.at("--logs")) options.logs = arguments.at("--logs").asString();
  const auto runs = static_cast<std::int64_t>(arguments.at("--runs").asLong());
  std::int64_t broken = 0;
  for (std::int64_t run = 0; run < runs; ++run) {
    coltsfootfork::SoakRun soak(options);
    const auto& found = soak.Run();
    std::cout << "seed " << options.seed << ": " << soak.faults().size()
              << " faults, " << soak.checker().served() << " of "
              << soak.checker().responses() << " calls served, plan "
              << soak.checker().accepted() << ", recovered in "
              << soak.recovered_in().count() << " ms, "
              << soak.arrival_checker().max_cold_request_rate()
              << " calls/s at cold servers, " << ServedSlowCalls(soak)
              << " slow calls served, entries up to "
              << soak.slow_load().peak_memory_kb() << " kB, " << found.size()
              << " findings\n";
    for (const auto& one : found) std::cout << "  " << one << "\n";
    if (!found.empty()) {
      ++broken;
      for (const auto& fault : soak.faults()) {
        std::cout << "  " << fault << "\n";
      }
    }
    std::cout << std::flush;
    ++options.seed;
  }
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
