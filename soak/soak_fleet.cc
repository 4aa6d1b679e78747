#include "soak/soak_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr std::size_t kControls = 3;
constexpr std::size_t kServers = 6;
constexpr std::size_t kModelServers = 3;
constexpr std::chrono::milliseconds kInjectedDelay{60};

// Returns a loopback address that is unique to this run. Otherwise another run
// or an outgoing connection could take the port of a process while the process
// restarts.
std::string LoopbackIpOfRun(std::size_t host) {
  constexpr unsigned kNumbers = 250;
  const auto run = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + run / kNumbers % kNumbers) + "." +
         std::to_string(run % kNumbers) + "." + std::to_string(host);
}

constexpr std::size_t kFirstControlHost = 11;
constexpr std::size_t kListenHost = 21;

std::string ControlIp(std::size_t number) {
  return LoopbackIpOfRun(kFirstControlHost + number);
}

LoopbackProxy::Endpoint ToEndpoint(const std::string& address) {
  return ParseEndpoint(address).value();
}

}  // namespace

SoakFleet::SoakFleet(boost::asio::io_context& io, const Options& options)
    : io_(io), options_(options), fleet_port_(PortOf(Fleet::UnusedAddress())) {
  for (std::size_t i = 0; i < kControls; ++i) AddControl(i);
  for (std::size_t i = 0; i < options_.entries; ++i) AddEntry(i);
  for (std::size_t i = 0; i < kServers; ++i) AddServer(i);
  std::vector<PlatformEngine*> peers;
  for (Server& server : servers_) peers.push_back(server.engine.get());
  for (Server& server : servers_) server.engine->SetPeers(peers);
}

SoakFleet::~SoakFleet() {
  // A paused process (SIGSTOP) reacts only to SIGKILL.
  for (auto* processes : {&controls_, &entries_}) {
    for (Process& process : *processes) {
      if (process.child) process.child->Signal(SIGKILL);
    }
  }
}

std::string SoakFleet::NextListenAddress() {
  while (true) {
    const std::string port = PortOf(Fleet::UnusedAddress());
    if (ports_.insert(port).second) {
      return LoopbackIpOfRun(kListenHost) + ":" + port;
    }
  }
}

FaultTargetCounts SoakFleet::target_counts() const {
  return {controls_.size(), entries_.size(), servers_.size(),
          kServerZones.size()};
}

void SoakFleet::AddControl(std::size_t number) {
  const std::string name = "control-" + std::to_string(number);
  const std::string listen = NextListenAddress();
  Process process;
  process.role = "control";
  process.address = NextListenAddress();
  process.settings = fleet_.folder() + "/" + name + ".json";
  json seeds = json::array();
  for (std::size_t i = 0; i < kControls; ++i) {
    seeds.push_back(ControlIp(i) + ":1");
  }
  const json settings = {{"process", name},
                         {"availability_zone", "z" + std::to_string(number)},
                         {"ip", ControlIp(number)},
                         {"fleet_port", std::stoi(fleet_port_)},
                         {"fleet_listen", listen},
                         {"control_listen", process.address},
                         {"control_seeds", seeds},
                         {"data_folder", fleet_.folder() + "/" + name},
                         {"test_disk_fault_share", options_.disk_fault_share},
                         {"is_first_start", true}};
  std::ofstream(process.settings) << settings.dump();
  process.proxy = std::make_unique<LoopbackProxy>(
      io_, ToEndpoint(ControlIp(number) + ":" + fleet_port_),
      ToEndpoint(listen));
  Launch(process);
  controls_.push_back(std::move(process));
}

void SoakFleet::AddEntry(std::size_t number) {
  const std::string name = "entry-" + std::to_string(number);
  const std::string listen = NextListenAddress();
  Process process;
  process.role = "entry";
  process.address = NextListenAddress();
  process.callers_address = listen;
  process.settings = fleet_.folder() + "/" + name + ".json";
  const json settings = {{"process", name},
                         {"availability_zone", "z0"},
                         {"ip", "127.0.0.1"},
                         {"fleet_port", std::stoi(fleet_port_)},
                         {"callers_listen", listen},
                         {"ready_listen", process.address},
                         {"control_seeds", {ControlIp(0) + ":1"}},
                         {"stop_within_s", 2.0},
                         {"evacuate_within_ms", 5000},
                         {"memory_mb", kEntryMemoryMb},
                         {"cold_overage", kModelColdLimit.overage},
                         {"cold_slack", kModelColdLimit.slack}};
  std::ofstream(process.settings) << settings.dump();
  process.proxy = std::make_unique<LoopbackProxy>(
      io_, ToEndpoint("127.0.0.1:0"), ToEndpoint(listen));
  Launch(process);
  entries_.push_back(std::move(process));
}

void SoakFleet::AddServer(std::size_t number) {
  Server server;
  server.service = number < kModelServers ? "model" : "ledger";
  server.zone = kServerZones.at(number % kModelServers % kServerZones.size());
  server.engine =
      std::make_unique<PlatformEngine>(io_, "i-" + std::to_string(number));
  server.proxy = std::make_unique<LoopbackProxy>(
      io_, ToEndpoint("127.0.0.1:0"), ToEndpoint(server.engine->address()));
  server.engine->SetAddress(FormatEndpoint(server.proxy->address()));
  server.engine->SetEventsPerStream(options_.mix == FaultMix::kPlanned
                                        ? kEventsOfLongStream
                                        : kEventsOfStream);
  server.engine->SetEchoesCallId(true);
  servers_.push_back(std::move(server));
}

void SoakFleet::Launch(Process& process) {
  // The shell opens the log and execs the program. Logs of earlier starts are
  // kept, because they are needed to explain findings.
  const std::string command = std::string("exec ") + COLTSFOOTFORK_PROGRAM +
                              " platform " + process.role + " --settings " +
                              process.settings + " >> " + process.settings +
                              ".log";
  process.stopping = false;
  process.child = std::make_unique<ChildProcess>(
      "/bin/sh", std::vector<std::string>{"-c", command},
      process.settings + ".errors");
}

void SoakFleet::BeginFault(const Fault& fault) {
  switch (fault.target) {
    case FaultTarget::kControl:
      return ApplyFault(controls_.at(fault.number), fault.kind,
                        /*begins=*/true);
    case FaultTarget::kEntry:
      return ApplyFault(entries_.at(fault.number), fault.kind, /*begins=*/true);
    case FaultTarget::kServer:
      if (fault.kind == FaultKind::kCold) {
        return SetCold(servers_.at(fault.number), fault.duration);
      }
      return ApplyFault(servers_.at(fault.number), fault.kind, /*begins=*/true);
    case FaultTarget::kFleet:
      return ApplyFaultToAll(FaultKind::kKill, /*begins=*/true);
    case FaultTarget::kZone:
      // The operator's part: the fleet's processes and servers are unaffected.
      return;
  }
}

void SoakFleet::EndFault(const Fault& fault) {
  switch (fault.target) {
    case FaultTarget::kControl:
      return ApplyFault(controls_.at(fault.number), fault.kind,
                        /*begins=*/false);
    case FaultTarget::kEntry:
      return ApplyFault(entries_.at(fault.number), fault.kind,
                        /*begins=*/false);
    case FaultTarget::kServer:
      return ApplyFault(servers_.at(fault.number), fault.kind,
                        /*begins=*/false);
    case FaultTarget::kFleet:
      return ApplyFaultToAll(FaultKind::kKill, /*begins=*/false);
    case FaultTarget::kZone:
      return;
  }
}

void SoakFleet::ApplyFaultToAll(FaultKind kind, bool begins) {
  for (auto* processes : {&controls_, &entries_}) {
    for (Process& process : *processes) ApplyFault(process, kind, begins);
  }
}

void SoakFleet::ApplyNetworkFault(LoopbackProxy& proxy, FaultKind kind,
                                  bool begins) {
  if (kind == FaultKind::kDelay) {
    proxy.SetDelay(begins ? kInjectedDelay : std::chrono::milliseconds(0));
  }
  if (kind == FaultKind::kReset && begins) proxy.ResetAll();
  if (kind == FaultKind::kStallToTarget) proxy.SetStalledToTarget(begins);
  if (kind == FaultKind::kStallFromTarget) proxy.SetStalledFromTarget(begins);
  if (kind == FaultKind::kRefuse) proxy.SetRefusing(begins);
}

void SoakFleet::ApplyFault(Process& process, FaultKind kind, bool begins) {
  ApplyNetworkFault(*process.proxy, kind, begins);
  if (kind == FaultKind::kPause) {
    process.pauses += begins ? 1 : -1;
    if (process.child) process.child->Signal(begins ? SIGSTOP : SIGCONT);
  }
  const bool ends = kind == FaultKind::kKill || kind == FaultKind::kStop;
  if (begins && (ends || kind == FaultKind::kPause)) ++process.faults;
  if (ends) process.stops += begins ? 1 : -1;
  if (ends && begins && process.child) {
    process.child->Signal(kind == FaultKind::kKill ? SIGKILL : SIGTERM);
    process.stopping = true;
  }
  if (ends && !begins && process.stops == 0) {
    // The previous process may still be stopping; its ports must be free.
    process.child->Signal(SIGKILL);
    process.child->Wait();
    Launch(process);
    if (process.pauses > 0) process.child->Signal(SIGSTOP);
  }
  if (kind == FaultKind::kReload && begins && process.child) {
    process.child->Signal(SIGHUP);
  }
}

void SoakFleet::ApplyFault(Server& server, FaultKind kind, bool begins) {
  ApplyNetworkFault(*server.proxy, kind, begins);
  if (kind == FaultKind::kCrash) {
    if (begins) {
      server.engine->Crash();
      server.proxy->ResetAll();
    } else {
      StartAnew(server);
    }
    server.down = begins;
    server.proxy->SetRefusing(begins);
  }
  if (kind != FaultKind::kDrain && kind != FaultKind::kDeregister) return;
  if (begins) {
    (kind == FaultKind::kDrain ? server.draining : server.deregistered) = true;
    return;
  }
  if (options_.mix == FaultMix::kAll) {
    // Calls that have not migrated by now end with the server.
    server.engine->Crash();
    server.proxy->ResetAll();
  }
  StartAnew(server);
}

void SoakFleet::StartAnew(Server& server) {
  server.draining = false;
  server.deregistered = false;
  ++server.incarnation;
  server.sequence = 0;
  SetCold(server, kColdAfterStart);
}

void SoakFleet::SetCold(Server& server, std::chrono::milliseconds duration) {
  if (server.service != "model") return;
  server.cold_until =
      std::max(server.cold_until, std::chrono::steady_clock::now() + duration);
}

void SoakFleet::KeepLogs(const std::string& folder) const {
  namespace fs = std::filesystem;
  fs::create_directories(folder);
  for (const auto& file : fs::directory_iterator(fleet_.folder())) {
    if (!file.is_regular_file()) continue;
    fs::copy(file.path(), folder, fs::copy_options::overwrite_existing);
  }
}

std::string SoakFleet::Heartbeat(Server& server) {
  using std::chrono::milliseconds;
  const auto cold_left = std::chrono::duration_cast<milliseconds>(
      server.cold_until - std::chrono::steady_clock::now());
  return json{{"service", server.service},
              {"address", server.engine->address()},
              {"zone", server.zone},
              {"cold_left_ms", std::max(cold_left, milliseconds(0)).count()},
              {"slots", 24},
              {"state", server.draining ? "draining" : "ready"},
              {"born", server.incarnation},
              {"sequence", ++server.sequence}}
      .dump();
}

std::string SoakFleet::Deregistration(Server& server) {
  return json{{"born", server.incarnation}, {"sequence", ++server.sequence}}
      .dump();
}

}  // namespace coltsfootfork
