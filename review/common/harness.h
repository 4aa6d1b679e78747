#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Stand-ins and helpers for the scripts of the review: child processes, a
// blocking HTTP/1.1 client and server on loopback addresses, and a record of
// what was sent, answered and run.
namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Seconds since the start of the program.
double Elapsed();
void SleepUntil(double elapsed);
void SleepFor(double seconds);

// Writes a line with the time to the record file and to standard output.
void OpenRecord(const std::string& path);
void Note(const std::string& line);
// Writes a line to the record file only.
void NoteQuietly(const std::string& line);

// Returns whether the environment variable TROUBLE is not "0".
bool HasTrouble();
std::string Environment(const char* name, const std::string& default_value);

// Returns a port that is free on each of the addresses now.
int FreePort(const std::vector<std::string>& ips);
std::string TemporaryFolder();
void WriteFile(const std::string& path, const std::string& text);

struct Message {
  // The request line or the status line.
  std::string start;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

struct Reply {
  // 0 if there was no complete response.
  int status = 0;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const;
};

// Reads one message with a Content-Length, chunks, or no body. Returns false at
// the end of the connection, an error or a timeout.
bool ReadMessage(int socket, bool is_response, std::string* buffer,
                 Message* message);
bool WriteAll(int socket, const std::string& bytes);
// Returns a connected socket, or -1.
int Connect(const std::string& ip, int port, double timeout_s);
void SetTimeout(int socket, double timeout_s);

// Sends one request on a new connection.
Reply Call(const std::string& ip, int port, const std::string& method,
           const std::string& path, const Headers& headers,
           const std::string& body, double timeout_s);
// Sends one request on an open connection. A status of 0 means that the
// connection ended or timed out before the end of the response.
Reply Exchange(int socket, const std::string& method, const std::string& path,
               const Headers& headers, const std::string& body,
               double timeout_s);

// A process of the system, with its output in a log file.
class Child {
 public:
  Child(std::string name, std::vector<std::string> args,
        std::string settings_path, std::string log_path);
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child();

  void Start();
  void Signal(int signal) const;
  // Sends SIGKILL and waits for the end.
  void Kill();
  // Returns true if the process has ended; it is reaped then.
  bool HasEnded();
  // Returns the resident memory in MB, or 0 if the process does not run.
  double MemoryMegabytes() const;
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::vector<std::string> args_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
};

// Accepts connections and runs the handler for each request. The handler writes
// its response to the socket, and returns whether to keep the connection.
class Server {
 public:
  using Handler = std::function<bool(int socket, const Message& request)>;
  Server(const std::string& ip, int port, Handler handler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::thread> threads_;
  std::vector<int> sockets_;
  std::thread accept_thread_;
};

// One machine of a small deployment: a control process with a disk and an
// entry process, with the settings that the templates of deploy/ produce.
struct Machine {
  std::string name;
  std::string zone;
  std::string ip;
  std::string data_folder;
};

class Deployment {
 public:
  Deployment(std::string folder, std::vector<Machine> machines);

  // Writes the settings of both processes of a machine and creates them.
  void Prepare(std::size_t machine, bool first_start);
  void StartAll();
  Child& control(std::size_t machine) { return *controls_[machine]; }
  Child& entry(std::size_t machine) { return *entries_[machine]; }
  const Machine& machine(std::size_t index) const { return machines_[index]; }
  std::size_t size() const { return machines_.size(); }
  int front_port() const { return front_port_; }
  int ready_port() const { return ready_port_; }
  int control_port() const { return control_port_; }
  const std::string& folder() const { return folder_; }
  void SignalMachine(std::size_t machine, int signal);
  void KillAll();

  // Sends a desired state to one control process. Returns the status.
  int Put(std::size_t machine, const std::string& document);
  Reply Get(std::size_t machine);
  // Sends a desired state to the machines in turn until one acknowledges it, or
  // the time is over. Returns the index of that machine, or -1.
  int PutUntilAcknowledged(std::size_t first, const std::string& document,
                           double timeout_s);
  bool IsReady(std::size_t machine);

 private:
  std::string folder_;
  std::vector<Machine> machines_;
  int front_port_ = 0;
  int ready_port_ = 0;
  int control_port_ = 0;
  int fleet_port_ = 0;
  std::vector<std::unique_ptr<Child>> controls_;
  std::vector<std::unique_ptr<Child>> entries_;
};

// Returns three machines in three zones on loopback addresses of their own.
std::vector<Machine> ThreeMachines(const std::string& folder);

// Ends with the exit code after all children have been ended. Removes the
// folder of the deployment unless the environment variable KEEP is set.
[[noreturn]] void Finish(Deployment& deployment, int exit_code);

}  // namespace review
