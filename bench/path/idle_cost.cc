#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "path/path_bench.h"
#include "support/fleet.h"

namespace coltsfootfork {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;
using nlohmann::json;

constexpr std::chrono::seconds kIdle{10};
constexpr int kChanges = 30;

// Three replicas and so many entries and agents, without backend servers.
struct IdleFleet {
  explicit IdleFleet(int others) {
    json names = json::array();
    for (int i = 1; i <= 3; ++i) {
      names.push_back("control-" + std::to_string(i));
      seeds.push_back(
          {{"process", names.back()}, {"address", Fleet::UnusedAddress()}});
    }
    for (int i = 0; i < 3; ++i) {
      Add(names[i], {{"control", {{"founders", names}}},
                     {"peer", {{"listen", seeds[i]["address"]}}}});
    }
    for (int i = 0; i < others; ++i) {
      if (i % 2 == 0) {
        Add("entry-" + std::to_string(i),
            {{"entry", {{"listen", "127.0.0.1:0"}}}});
      } else {
        Add("agent-" + std::to_string(i),
            {{"agent", {{"engine_listen", "127.0.0.1:0"}}}});
      }
    }
    fleet.Apply(admin, DemoConfiguration());
  }

  void Add(const std::string& name, json settings) {
    settings["control_seeds"] = seeds;
    settings["log"] = {{"level", "warning"}};
    const json addresses = fleet.Start(name, settings);
    if (admin.empty()) admin = addresses["admin"];
    processes.push_back(name);
  }

  // Whether every process has told that the revision is in force.
  bool InForce(int revision) {
    const json status = fleet.Status(admin);
    std::size_t count = 0;
    for (const json& process : status.value("processes", json::array())) {
      if (process.value("revision", 0) >= revision) ++count;
    }
    return count == processes.size();
  }

  // Processor seconds that all processes have used.
  double ProcessorSeconds() {
    double ticks = 0;
    for (const std::string& name : processes) {
      ticks += fleet.process(name).ProcessorTicks();
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }

  Fleet fleet;
  json seeds = json::array();
  std::string admin;
  std::vector<std::string> processes;
};

// Bytes that went over loopback so far, with headers.
double LoopbackBytes() {
  std::ifstream devices("/proc/net/dev");
  for (std::string line; std::getline(devices, line);) {
    const std::size_t colon = line.find("lo:");
    if (colon != std::string::npos) return std::stod(line.substr(colon + 3));
  }
  return 0;
}

void MeasureSize(int others) {
  IdleFleet idle(others);
  Fleet::Await("all have the first revision", [&] { return idle.InForce(1); });
  const double processor = idle.ProcessorSeconds();
  const double bytes = LoopbackBytes();
  Pause(kIdle);
  const auto count = static_cast<double>(idle.processes.size());
  const double seconds = std::chrono::duration<double>(kIdle).count();
  const double percent =
      (idle.ProcessorSeconds() - processor) / seconds / count * 100;
  const double bytes_per_second = (LoopbackBytes() - bytes) / seconds / count;

  std::vector<double> in_force;
  json document = DemoConfiguration();
  for (int change = 1; change <= kChanges; ++change) {
    document["inventory"]["workspaces"][0]["weight"] = change + 1;
    const Clock::time_point start = Clock::now();
    idle.fleet.Apply(idle.admin, document, change);
    while (!idle.InForce(change + 1)) Pause(std::chrono::milliseconds(2));
    in_force.push_back(Milliseconds(Clock::now() - start).count());
  }
  std::sort(in_force.begin(), in_force.end());
  constexpr double kKilobytesPerMegabyte = 1024;
  std::cout << "| " << idle.processes.size() << " | " << std::fixed
            << std::setprecision(2) << percent << " | " << std::setprecision(0)
            << bytes_per_second << " | " << in_force[in_force.size() / 2]
            << " | " << in_force.back() << " | " << std::setprecision(1)
            << static_cast<double>(
                   idle.fleet.process("entry-0").StatusNumber("VmRSS")) /
                   kKilobytesPerMegabyte
            << " |" << std::endl;
}

}  // namespace

void MeasureIdleAndChanges() {
  std::cout << "| processes | idle, % of a core each | idle, bytes/s each | "
               "change in force p50, ms | longest of "
            << kChanges << ", ms | entry memory, MB |\n"
            << "| --- | --- | --- | --- | --- | --- |" << std::endl;
  for (const int others : {7, 17, 37, 77}) MeasureSize(others);
}

}  // namespace coltsfootfork
