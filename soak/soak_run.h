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
#include "soak/invariant_checker.h"
#include "soak/soak_caller.h"
#include "soak/soak_fleet.h"

namespace coltsfootfork {

struct SoakOptions {
  std::uint64_t seed = 1;
  // How long faults come.
  std::chrono::seconds duration{10};
  // The part of the steps on control processes' disks that fail.
  double disk_fault_share = 0.002;
  // A backend server says of calls that it runs that it has not.
  bool plant_fault = false;
  // A slower recovery is a finding; zero on machines of unknown speed.
  std::chrono::milliseconds recovery_limit{0};
  // Where logs of runs with findings are kept; empty to keep none.
  std::string logs;
};

// One run: load, changes and faults for a while, then none of the faults, and
// everything must be served again.
class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);

  // Ends by itself. What was found; empty where all held.
  const std::vector<std::string>& Run();
  const InvariantChecker& checker() const { return checker_; }
  const std::vector<std::string>& faults() const { return faults_; }
  // From the end of the last fault until all was served again.
  std::chrono::milliseconds recovered_in() const { return recovered_in_; }

 private:
  using Answered = std::function<void(const HttpFetchResult& result)>;

  void SendRequest(const std::string& address, const std::string& method,
                   const std::string& path, const std::string& body,
                   Answered done);
  // Runs the loop until the condition holds; false after a long time.
  bool RunUntil(const std::function<bool()>& condition);
  // Calls the function again and again with pauses until the run ends.
  void Repeat(std::chrono::milliseconds pause, std::function<void()> work);

  void SendHeartbeats();
  void ChangePlan();
  void ReadPlan();
  void NextFault();
  bool AllReady();
  // With no fault left, each entry serves each kind of call, and each control
  // process reads the newest change back.
  void CheckRecovery();
  std::string AnyControl();
  // Where there are findings.
  const std::vector<std::string>& KeepLogs();

  SoakOptions options_;
  boost::asio::io_context io_;
  std::mt19937_64 random_;
  SoakFleet fleet_;
  InvariantChecker checker_;
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::vector<std::string> faults_;
  std::vector<std::string> findings_;
  std::uint64_t version_ = 1;
  std::chrono::milliseconds recovered_in_{0};
  bool injecting_faults_ = true;
  bool finished_ = false;
};

}  // namespace coltsfootfork
