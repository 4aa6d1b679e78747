#include "deployment-2.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr const char* kControlIps[] = {"127.0.31.1", "127.0.31.2",
                                       "127.0.31.3"};
constexpr const char* kZones[] = {"zone-a", "zone-b", "zone-c"};
constexpr std::chrono::milliseconds kCallTimeout{1000};

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool CanBind(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  const bool bound =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// The folder of the deployment, for the case that it can't go on.
std::string& TemporaryFolder() {
  static std::string folder;
  return folder;
}

// Reads more bytes; returns false at the end of the connection.
bool ReadMore(int descriptor, std::string& buffer) {
  char chunk[16384];
  const ssize_t size = read(descriptor, chunk, sizeof(chunk));
  if (size <= 0) return false;
  buffer.append(chunk, static_cast<std::size_t>(size));
  return true;
}

// Reads a chunked body off the connection.
bool ReadChunks(int descriptor, std::string& buffer, std::string& body) {
  while (true) {
    std::size_t end = buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(descriptor, buffer)) return false;
      end = buffer.find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < end + 2 + size + 2) {
      if (!ReadMore(descriptor, buffer)) return false;
    }
    body += buffer.substr(end + 2, size);
    buffer.erase(0, end + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace

void GiveUp(const std::string& reason) {
  std::fprintf(stderr, "could not run: %s\n", reason.c_str());
  std::error_code ignored;
  if (!TemporaryFolder().empty()) {
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  }
  // The processes of the deployment are ended by their death signal.
  std::_Exit(2);
}

std::string Variable(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

bool HasTrouble() { return Variable("TROUBLE", "1") != "0"; }

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Sleep(std::chrono::milliseconds duration) {
  std::this_thread::sleep_for(duration);
}

Record::Record(const std::string& path)
    : file_(path), start_(std::chrono::steady_clock::now()) {
  if (!file_) GiveUp("cannot write " + path);
}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_)
      .count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f s  ",
                static_cast<double>(Now()) / 1000);
  file_ << time << line << std::endl;
}

int FreePort() {
  while (true) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(kControlIps[0], 0);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
            0) {
      GiveUp("no free port");
    }
    close(descriptor);
    const int port = ntohs(address.sin_port);
    const bool is_free_everywhere =
        std::all_of(std::begin(kControlIps), std::end(kControlIps),
                    [&](const char* ip) { return CanBind(ip, port); });
    if (is_free_everywhere) return port;
  }
}

int Connect(const std::string& ip, int port,
            std::chrono::milliseconds timeout) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{static_cast<time_t>(timeout.count() / 1000),
                      static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

std::string ReadUntilQuiet(int descriptor, std::chrono::milliseconds quiet) {
  std::string bytes;
  pollfd waiting{descriptor, POLLIN, 0};
  while (poll(&waiting, 1, static_cast<int>(quiet.count())) > 0) {
    if (!ReadMore(descriptor, bytes)) break;
  }
  return bytes;
}

Response Call(const std::string& ip, int port, const std::string& method,
              const std::string& path, const std::string& headers,
              const std::string& body) {
  const int descriptor = Connect(ip, port, kCallTimeout);
  if (descriptor < 0) return {};
  std::string request =
      method + " " + path + " HTTP/1.1\r\n" + headers + "Connection: close\r\n";
  if (method != "GET") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  Response response;
  if (SendAll(descriptor, request)) {
    std::string bytes;
    while (ReadMore(descriptor, bytes)) {
    }
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end != std::string::npos && bytes.size() > 12) {
      response.status = std::atoi(bytes.c_str() + 9);
      response.body = bytes.substr(end + 4);
    }
  }
  close(descriptor);
  return response;
}

Deployment::Deployment(Record& record)
    : record_(record),
      entry_port_(FreePort()),
      ready_port_(FreePort()),
      control_port_(FreePort()),
      fleet_port_(FreePort()) {
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) GiveUp("no temporary folder");
  folder_ = folder;
  TemporaryFolder() = folder_;
  for (int i = 0; i < 4; ++i) metrics_ports_.push_back(FreePort());
}

Deployment::~Deployment() {
  for (const Process& process : processes_) kill(process.pid, SIGKILL);
  for (const Process& process : processes_) waitpid(process.pid, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string Deployment::Settings(const std::string& role,
                                 std::size_t index) const {
  const std::string ip = kControlIps[index];
  const auto at = [&](int port) {
    return Quoted(ip + ":" + std::to_string(port));
  };
  std::ostringstream text;
  text << "{\"process\":" << Quoted(role + "-" + std::to_string(index + 1))
       << ",\"availability_zone\":" << Quoted(kZones[index])
       << ",\"ip\":" << Quoted(ip)
       << ",\"memory_mb\":110,\"max_descriptors\":4100"
       << ",\"fleet_port\":" << fleet_port_ << ",\"control_seeds\":[";
  for (std::size_t i = 0; i < std::size(kControlIps); ++i) {
    text << (i == 0 ? "" : ",")
         << Quoted(std::string(kControlIps[i]) + ":" +
                   std::to_string(control_port_));
  }
  text << "],\"usage_reports\":\"prompt\"";
  if (role == "control") {
    text << ",\"control_listen\":" << at(control_port_)
         << ",\"metrics_listen\":" << at(metrics_ports_[index])
         << ",\"data_folder\":"
         << Quoted(folder_ + "/data-" + std::to_string(index))
         << ",\"refuse_copies\":false,\"is_first_start\":"
         << (is_first_start_ ? "true" : "false");
  } else {
    text << ",\"callers_listen\":" << at(entry_port_)
         << ",\"ready_listen\":" << at(ready_port_)
         << ",\"metrics_listen\":" << at(metrics_ports_[3])
         << ",\"regions\":{\"zone-a\":\"r\",\"zone-b\":\"r\",\"zone-c\":\"r\"}"
         << ",\"stop_within_s\":8,\"repeat_ratio\":0.2,\"repeat_window_s\":10"
         << ",\"precopy\":\"iterative\",\"server_performance\":\"learned\""
         << ",\"log_level\":\"info\"";
  }
  text << "}";
  return text.str();
}

void Deployment::StartProcess(const std::string& role, std::size_t index) {
  const std::string name = folder_ + "/" + role + "-" + std::to_string(index);
  std::ofstream(name + ".json") << Settings(role, index);
  const std::string program =
      Variable("PROGRAM", "target/src/cli/coltsfootfork");
  const std::string variable = "COLTSFOOTFORK_CONFIG=" + name + ".json";
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process < 0) GiveUp("cannot start a process");
  if (process == 0) {
    const int log = open((name + ".log").c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Ends with the case, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) std::_Exit(2);
    char* const arguments[] = {const_cast<char*>(program.c_str()),
                               const_cast<char*>("platform"),
                               const_cast<char*>(role.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    execve(program.c_str(), arguments, environment);
    std::_Exit(2);
  }
  processes_.push_back({role, index, process});
  record_.Write("started " + role + " " + std::to_string(index + 1));
}

void Deployment::Start(std::size_t entries) {
  for (std::size_t i = 0; i < std::size(kControlIps); ++i) {
    StartProcess("control", i);
  }
  is_first_start_ = false;
  for (std::size_t i = 0; i < entries; ++i) StartProcess("entry", i);
}

std::vector<std::string> Deployment::RestartEnded() {
  std::vector<Process> ended;
  for (auto process = processes_.begin(); process != processes_.end();) {
    int status = 0;
    if (waitpid(process->pid, &status, WNOHANG) == 0) {
      ++process;
      continue;
    }
    record_.Write(process->role + " " + std::to_string(process->index + 1) +
                  " has ended by itself, status " + std::to_string(status));
    ended.push_back(*process);
    process = processes_.erase(process);
  }
  std::vector<std::string> names;
  for (const Process& process : ended) {
    StartProcess(process.role, process.index);
    names.push_back(process.role + " " + std::to_string(process.index + 1));
  }
  return names;
}

std::string Deployment::entry_ip(std::size_t entry) const {
  return kControlIps[entry];
}

Response Deployment::Control(std::size_t index, const std::string& method,
                             const std::string& path, const std::string& body) {
  const Response response =
      Call(kControlIps[index], control_port_, method, path,
           "Host: control\r\nContent-Type: application/json\r\n", body);
  record_.Write("control " + std::to_string(index + 1) + ": " + method + " " +
                path + " " + body.substr(0, 200) + " -> " +
                std::to_string(response.status));
  return response;
}

void Deployment::Put(const std::string& plan) {
  for (int i = 0; i < 100; ++i) {
    const Response response = Control(static_cast<std::size_t>(i % 3), "POST",
                                      "/api/config/put", plan);
    if (response.status == 200) return;
    if (response.status == 400) GiveUp("refused: " + response.body);
    Sleep(std::chrono::milliseconds(200));
  }
  GiveUp("no desired state was acknowledged");
}

void Deployment::AwaitReady(std::size_t entry) {
  for (int i = 0; i < 200; ++i) {
    const Response response = Call(entry_ip(entry), ready_port_, "GET",
                                   "/api/readyz", "Host: entry\r\n", "");
    if (response.status == 200) {
      record_.Write("entry " + std::to_string(entry + 1) + " is ready");
      return;
    }
    Sleep(std::chrono::milliseconds(100));
  }
  GiveUp("the entry did not become ready");
}

std::string ReceivedRequest::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

Engine::Engine(Record& record, std::string id, std::string ip)
    : record_(record), id_(std::move(id)), ip_(std::move(ip)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip_, 0);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 64) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    GiveUp("an engine cannot listen");
  }
  port_ = ntohs(address.sin_port);
}

void Engine::Run() {
  std::thread([this] { Accept(); }).detach();
}

std::string Engine::address() const {
  return ip_ + ":" + std::to_string(port_);
}

std::vector<ReceivedRequest> Engine::requests() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_;
}

std::string Engine::Heartbeat(const std::string& service,
                              const std::string& state, std::int64_t born,
                              int sequence) const {
  return "{\"service\":" + Quoted(service) +
         ",\"address\":" + Quoted(address()) +
         ",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":" +
         Quoted(state) +
         ",\"cold_left_ms\":0,\"sequence\":" + std::to_string(sequence) +
         ",\"born\":" + std::to_string(born) + "}";
}

void Engine::Accept() {
  while (true) {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) return;
    std::thread([this, descriptor] {
      Serve(descriptor);
      close(descriptor);
    }).detach();
  }
}

void Engine::Serve(int descriptor) {
  std::string buffer;
  while (true) {
    std::size_t end = buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(descriptor, buffer)) return;
      end = buffer.find("\r\n\r\n");
    }
    ReceivedRequest request;
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream(line) >> request.method >> request.target;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      request.fields.emplace(Lower(line.substr(0, colon)),
                             Trimmed(line.substr(colon + 1)));
    }
    if (Lower(request.Field("transfer-encoding")) == "chunked") {
      if (!ReadChunks(descriptor, buffer, request.body)) return;
    } else {
      const auto size =
          std::strtoul(request.Field("content-length").c_str(), nullptr, 10);
      while (buffer.size() < size) {
        if (!ReadMore(descriptor, buffer)) return;
      }
      request.body = buffer.substr(0, size);
      buffer.erase(0, size);
    }
    const std::string request_id = request.Field("request-id");
    const std::string instance = request.Field("expect-instance");
    request.at_ms = record_.Now();
    if (!instance.empty() && instance != id_) {
      const std::string refusal =
          "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + request_id +
          "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      if (!SendAll(descriptor, refusal)) return;
      continue;
    }
    if (!Answer(descriptor, request)) return;
  }
}

bool Engine::Answer(int descriptor, const ReceivedRequest& request) {
  const std::string request_id = request.Field("request-id");
  record_.Write("engine " + id_ + " runs " + request.method + " " +
                request.target + " of request " + request_id + ", " +
                std::to_string(request.body.size()) + " bytes of body");
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(request);
  }
  const std::string body = "ran " + request_id;
  return SendAll(descriptor,
                 "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
                     "\r\nResponse-Signature: " + id_ + "." + request_id +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
}

}  // namespace review
