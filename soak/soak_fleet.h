#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_engine.h"
#include "soak/arrival_checker.h"
#include "soak/fault.h"
#include "soak/loopback_proxy.h"
#include "support/child_process.h"
#include "support/fleet.h"

namespace coltsfootfork {

// The number of events of a complete stream.
inline constexpr int kEventsOfStream = 100;
// The same where only planned work is injected: a stream then takes longer than
// a stopping entry may have left.
inline constexpr int kEventsOfLongStream = 1500;

// The zones of the backend servers. Each has servers of every service; the
// first and the last server are in the first one.
inline constexpr std::array<const char*, 2> kServerZones = {"z0", "z1"};

// What a cold server of model engines takes: less than the callers send to it.
inline constexpr SoakColdLimit kModelColdLimit = {3, 1.5, 5};

// How long a server is cold after a restart or an evacuation of its zone.
inline constexpr std::chrono::milliseconds kColdAfterStart{4000};

// The memory of the smallest entry host, in MB, as the settings name it.
inline constexpr int kEntryMemoryMb = 88;

// Real processes of the system and simulated backend servers, each behind a
// fault-injecting proxy.
class SoakFleet {
 public:
  struct Process {
    std::string role;
    std::string settings;
    std::unique_ptr<ChildProcess> child;
    std::unique_ptr<LoopbackProxy> proxy;
    // The address for operators or the balancer's readiness checks, without a
    // proxy and its faults.
    std::string address;
    // The address for callers without a proxy; empty for a control process.
    std::string callers_address;
    // The number of faults so far that paused, stopped or killed the process.
    std::uint64_t faults = 0;
    // The number of active faults that pause the process.
    int pauses = 0;
    // The number of active faults that stop or kill the process. It restarts
    // when the last of them ends.
    int stops = 0;
    // The process was signalled to stop.
    bool stopping = false;
  };
  struct Server {
    std::unique_ptr<PlatformEngine> engine;
    std::unique_ptr<LoopbackProxy> proxy;
    std::string service;
    std::string zone;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    bool draining = false;
    // The incarnation has deregistered and sends no more heartbeats.
    bool deregistered = false;
    bool down = false;
    std::chrono::steady_clock::time_point cold_until;
  };
  struct Options {
    FaultMix mix = FaultMix::kAll;
    std::size_t entries = 2;
    // The share of disk operations of control processes that fail.
    double disk_fault_share = 0;
  };

  SoakFleet(boost::asio::io_context& io, const Options& options);
  ~SoakFleet();
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  FaultTargetCounts target_counts() const;
  std::vector<Process>& controls() { return controls_; }
  std::vector<Process>& entries() { return entries_; }
  std::vector<Server>& servers() { return servers_; }

  void BeginFault(const Fault& fault);
  // Reverts the effects of the fault and restarts its process if necessary.
  void EndFault(const Fault& fault);
  // Copies settings and logs of all processes. Throws on failure.
  void KeepLogs(const std::string& folder) const;
  // Returns the next heartbeat of a server as JSON.
  static std::string Heartbeat(Server& server);
  static std::string Deregistration(Server& server);
  // Makes a server of model engines cold for at least that long.
  static void SetCold(Server& server, std::chrono::milliseconds duration);
  // Starts a new incarnation of the server under the same id and address.
  static void StartAnew(Server& server);

 private:
  // Returns an address that no other process of this run uses.
  std::string NextListenAddress();
  void AddControl(std::size_t number);
  void AddEntry(std::size_t number);
  void AddServer(std::size_t number);
  void Launch(Process& process);
  void ApplyNetworkFault(LoopbackProxy& proxy, FaultKind kind, bool begins);
  void ApplyFault(Process& process, FaultKind kind, bool begins);
  void ApplyFaultToAll(FaultKind kind, bool begins);
  void ApplyFault(Server& server, FaultKind kind, bool begins);

  boost::asio::io_context& io_;
  Options options_;
  Fleet fleet_;
  std::string fleet_port_;
  std::set<std::string> ports_;
  std::vector<Process> controls_;
  std::vector<Process> entries_;
  std::vector<Server> servers_;
};

}  // namespace coltsfootfork
