#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {

// A request that an engine has run.
struct Run {
  std::string engine;
  std::string id;
  double at = 0;
};

// A plain engine as the users' pages describe it: it runs what names its id,
// answers others with 421, and reports itself to the control processes.
class Engine {
 public:
  Engine(std::string id, std::string service, std::string zone, std::string ip,
         int port, double work_s);
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Answers requests below /talk/ with a stream of so many events.
  void SetStream(int events, double gap_s);
  // Starts to send heartbeats to the control processes in turn.
  void Report(std::vector<std::string> control_ips, int control_port);
  // Stops the heartbeats; the last one that was written is kept as `unsent`.
  void StopReporting();
  // Returns the heartbeat that would be sent next, and counts it as sent.
  std::string NextHeartbeat(const std::string& state);
  // Sends a body to a path below the engine's instance until a control process
  // answers with 2xx. Returns false if none did in time.
  bool Tell(const std::string& suffix, const std::string& body,
            double timeout_s);
  // Sends it to one control process. Returns the status.
  int TellOne(std::size_t control, const std::string& suffix,
              const std::string& body);

  std::vector<Run> Runs() const;
  const std::string& id() const { return id_; }
  std::uint64_t born() const { return born_; }

 private:
  bool OnRequest(int socket, const Message& request);
  bool WriteStream(int socket, const std::string& id);

  std::string id_;
  std::string service_;
  std::string zone_;
  std::string address_;
  double work_s_;
  int stream_events_ = 0;
  double stream_gap_s_ = 0;
  std::uint64_t born_;
  std::atomic<std::uint64_t> sequence_{0};
  std::vector<std::string> control_ips_;
  int control_port_ = 0;
  std::atomic<bool> reporting_{false};
  std::thread reporter_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::unique_ptr<Server> server_;
};

}  // namespace review
