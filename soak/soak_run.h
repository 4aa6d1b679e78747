#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "shell/net/http_client.h"
#include "soak/arrival_checker.h"
#include "soak/evacuation_operator.h"
#include "soak/invariant_checker.h"
#include "soak/slow_load.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"

namespace coltsfootfork {

struct SoakOptions {
  std::uint64_t seed = 1;
  // The period during which faults are injected.
  std::chrono::seconds duration{10};
  FaultMix mix = FaultMix::kAll;
  std::size_t entries = 2;
  // The share of disk operations of control processes that fail.
  double disk_fault_share = 0.002;
  // Makes a backend server reject calls that it does run.
  bool plant_fault = false;
  // A slower recovery is a finding. Zero disables the check, for machines of
  // unknown speed.
  std::chrono::milliseconds recovery_limit{0};
  // The folder for logs of runs with findings; empty to keep none.
  std::string logs;
};

// One soak run: applies load, plan changes and faults, then ends all faults and
// checks that all calls are served again.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);

  // Runs to completion and returns the findings; empty if all checks pass.
  const std::vector<std::string>& Run();
  const InvariantChecker& checker() const { return checker_; }
  const ArrivalChecker& arrival_checker() const { return arrival_checker_; }
  const std::vector<std::string>& faults() const { return faults_; }
  // The time from the end of the last fault until all calls are served again.
  std::chrono::milliseconds recovered_in() const { return recovered_in_; }

  const SlowLoad& slow_load() const { return slow_load_; }

 private:
  // The number of callers that read at once.
  static constexpr std::size_t kCallers = 8;

  using Answered = std::function<void(const HttpFetchResult& result)>;

  void SendRequest(const std::string& address, const std::string& method,
                   const std::string& path, const std::string& body,
                   Answered done);
  // Runs the event loop until the condition holds. Returns false on timeout.
  bool RunUntil(const std::function<bool()>& condition);
  // Runs the event loop for that long.
  void Pass(std::chrono::milliseconds time);
  // Calls `work` periodically until the run ends.
  void Repeat(std::chrono::milliseconds pause, std::function<void()> work);

  void SendHeartbeats();
  void SendHeartbeatsOfSlowLoad();
  // Deregisters the server, and repeats it until it is acknowledged. A
  // heartbeat that the server sent before arrives some seconds later.
  void Deregister(SoakFleet::Server& server);
  void SendDeregistration(SoakFleet::Server& server,
                          std::function<void()> acknowledged);
  void SendTo(const std::string& control, const std::string& server,
              const std::string& suffix, const std::string& body);
  // Runs `work` once after the delay, unless the run has ended.
  void After(std::chrono::milliseconds delay, std::function<void()> work);
  void ChangePlan();
  void ReadPlan();
  void NextFault();
  // Evacuates the zone for that long after the acknowledgement.
  void Evacuate(const std::string& zone, std::chrono::milliseconds duration);
  // Evacuates a zone until calls to it have been checked for a while. Faults
  // that disturb processes pause meanwhile.
  void CheckEvacuationBetweenFaults();
  // Ends the evacuation. The zone's servers are cold then.
  void EndEvacuation();
  // Checks that each control process returns the zones of the last order that
  // was acknowledged.
  void CheckEvacuatedZones();
  // Waits until no evacuation is in progress, and checks the same.
  void CheckEvacuationsEnd();
  bool AllReady();
  // Checks after the last fault that each entry is ready, that each control
  // process returns the newest plan, and that callers are served.
  void CheckRecovery();
  // Checks that servers whose deregistration was acknowledged get no calls
  // after all processes were killed, in spite of delayed heartbeats, and that
  // their next incarnations do.
  void CheckDepartures();
  bool ServesCallers();
  // Checks that callers that read slowly are served.
  void CheckSlowLoad();
  std::string AnyControl();
  // Keeps the logs if there are findings, and returns the findings.
  const std::vector<std::string>& KeepLogs();

  SoakOptions options_;
  boost::asio::io_context io_;
  std::mt19937_64 random_;
  // Faults have a generator of their own, because the order in which the timers
  // of the others draw numbers depends on the machine.
  std::mt19937_64 fault_random_;
  SoakFleet fleet_;
  InvariantChecker checker_;
  ArrivalChecker arrival_checker_{kModelColdLimit};
  EvacuationOperator evacuations_;
  SlowLoad slow_load_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::vector<std::string> faults_;
  std::vector<std::string> findings_;
  std::uint64_t version_ = 1;
  std::chrono::milliseconds recovered_in_{0};
  bool injecting_faults_ = true;
  // Faults of control processes and entries, and evacuations, are not injected.
  bool processes_are_spared_ = false;
  bool finished_ = false;
};

}  // namespace coltsfootfork
