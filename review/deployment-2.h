#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

// Starts a small deployment on loopback addresses: three control processes
// with a disk and one entry, with the commands of deploy/system.toml and the
// settings of deploy/control.json and deploy/entry.json.
namespace review {

// What a case cannot do its work without. The case ends with exit code 2.
[[noreturn]] void GiveUp(const std::string& reason);

// The value of an environment variable, or `fallback`.
std::string Variable(const char* name, const std::string& fallback);

// True unless TROUBLE=0.
bool HasTrouble();

std::int64_t UnixMilliseconds();
void Sleep(std::chrono::milliseconds duration);

// A line for each thing sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  // Milliseconds since the start.
  std::int64_t Now() const;

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_;
};

struct Response {
  // 0 if there was no complete response.
  int status = 0;
  std::string body;
};

// Opens a connection; returns -1 if it fails.
int Connect(const std::string& ip, int port, std::chrono::milliseconds timeout);
bool SendAll(int descriptor, const std::string& bytes);
// Reads until the other end closes the connection or nothing arrives for
// `quiet`.
std::string ReadUntilQuiet(int descriptor, std::chrono::milliseconds quiet);

// Sends one request on a new connection and reads its response.
Response Call(const std::string& ip, int port, const std::string& method,
              const std::string& path, const std::string& headers,
              const std::string& body);

class Deployment {
 public:
  explicit Deployment(Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void Start(std::size_t entries = 1);
  // Starts the processes again that have ended by themselves, as the platform
  // does. Returns the names of these.
  std::vector<std::string> RestartEnded();
  // Puts a desired state until one control process acknowledges it.
  void Put(const std::string& plan);
  void AwaitReady(std::size_t entry = 0);
  // Calls the control process at `index`.
  Response Control(std::size_t index, const std::string& method,
                   const std::string& path, const std::string& body);

  std::string entry_ip(std::size_t entry = 0) const;
  int entry_port() const { return entry_port_; }

 private:
  struct Process {
    std::string role;
    std::size_t index = 0;
    pid_t pid = 0;
  };

  void StartProcess(const std::string& role, std::size_t index);
  std::string Settings(const std::string& role, std::size_t index) const;

  Record& record_;
  std::string folder_;
  int entry_port_;
  int ready_port_;
  int control_port_;
  int fleet_port_;
  std::vector<int> metrics_ports_;
  std::vector<Process> processes_;
  bool is_first_start_ = true;
};

// A port that was free on all addresses of the deployment a moment ago.
int FreePort();

// A request as an engine received it.
struct ReceivedRequest {
  std::int64_t at_ms = 0;
  std::string method;
  std::string target;
  // Names in lower case.
  std::multimap<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
};

// An engine that answers every request with 200 and its receipt. It reads
// requests as RFC 9112 has them, one at a time on a connection.
class Engine {
 public:
  Engine(Record& record, std::string id, std::string ip);
  virtual ~Engine() = default;
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Serves until the program ends.
  void Run();

  std::string address() const;
  const std::string& id() const { return id_; }
  std::vector<ReceivedRequest> requests();

  // The body of a liveness report.
  std::string Heartbeat(const std::string& service, const std::string& state,
                        std::int64_t born, int sequence) const;

 protected:
  // Answers a request that was sent to this engine. Returns whether the
  // connection stays open.
  virtual bool Answer(int descriptor, const ReceivedRequest& request);
  Record& record() { return record_; }

 private:
  void Accept();
  void Serve(int descriptor);

  Record& record_;
  std::string id_;
  std::string ip_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::vector<ReceivedRequest> requests_;
};

}  // namespace review
