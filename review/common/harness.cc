#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <system_error>
#include <utility>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();
std::mutex record_mutex;
std::ofstream record;

bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return {};
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int BoundSocket(const std::string& ip, int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

// Appends what arrives. Returns false at the end or after an error.
bool Receive(int socket, std::string* buffer) {
  char bytes[16384];
  const ssize_t size = recv(socket, bytes, sizeof(bytes), 0);
  if (size <= 0) return false;
  buffer->append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool ReadChunks(int socket, std::string* buffer, std::string* body) {
  while (true) {
    std::size_t line = buffer->find("\r\n");
    while (line == std::string::npos) {
      if (!Receive(socket, buffer)) return false;
      line = buffer->find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer->c_str(), nullptr, 16);
    const std::size_t end = line + 2 + size + 2;
    while (buffer->size() < end) {
      if (!Receive(socket, buffer)) return false;
    }
    body->append(*buffer, line + 2, size);
    buffer->erase(0, end);
    if (size == 0) return true;
  }
}

}  // namespace

double Elapsed() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double elapsed) {
  const double left = elapsed - Elapsed();
  if (left > 0) SleepFor(left);
}

void OpenRecord(const std::string& path) { record.open(path); }

void NoteQuietly(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Elapsed());
  const std::lock_guard<std::mutex> lock(record_mutex);
  record << time << line << std::endl;
}

void Note(const std::string& line) {
  NoteQuietly(line);
  std::printf("%8.3f %s\n", Elapsed(), line.c_str());
  std::fflush(stdout);
}

std::string Environment(const char* name, const std::string& default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : value;
}

bool HasTrouble() { return Environment("TROUBLE", "1") != "0"; }

int FreePort(const std::vector<std::string>& ips) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int first = BoundSocket(ips.front(), 0);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(first, reinterpret_cast<sockaddr*>(&address), &size);
    const int port = ntohs(address.sin_port);
    bool is_free = true;
    for (std::size_t i = 1; i < ips.size(); ++i) {
      const int other = BoundSocket(ips[i], port);
      is_free = is_free && other >= 0;
      if (other >= 0) close(other);
    }
    close(first);
    if (is_free) return port;
  }
  std::exit(2);
}

std::string TemporaryFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) std::exit(2);
  return path;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

std::string Message::Header(const std::string& name) const {
  return Find(headers, name);
}

std::string Reply::Header(const std::string& name) const {
  return Find(headers, name);
}

bool ReadMessage(int socket, bool is_response, std::string* buffer,
                 Message* message) {
  std::size_t end = buffer->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Receive(socket, buffer)) return false;
    end = buffer->find("\r\n\r\n");
  }
  std::istringstream head(buffer->substr(0, end));
  buffer->erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  message->start = line;
  message->headers.clear();
  message->body.clear();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message->headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  if (SameName(message->Header("Transfer-Encoding"), "chunked")) {
    return ReadChunks(socket, buffer, &message->body);
  }
  const std::string length = message->Header("Content-Length");
  if (length.empty() && is_response) {
    while (Receive(socket, buffer)) {
    }
    message->body = std::exchange(*buffer, {});
    return true;
  }
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (buffer->size() < size) {
    if (!Receive(socket, buffer)) return false;
  }
  message->body = buffer->substr(0, size);
  buffer->erase(0, size);
  return true;
}

bool WriteAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

void SetTimeout(int socket, double timeout_s) {
  timeval time{};
  time.tv_sec = static_cast<time_t>(timeout_s);
  time.tv_usec = static_cast<suseconds_t>(
      (timeout_s - static_cast<double>(time.tv_sec)) * 1e6);
  setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

int Connect(const std::string& ip, int port, double timeout_s) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(socket, timeout_s);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = Address(ip, port);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(socket);
    return -1;
  }
  return socket;
}

Reply Exchange(int socket, const std::string& method, const std::string& path,
               const Headers& headers, const std::string& body,
               double timeout_s) {
  SetTimeout(socket, timeout_s);
  std::string request = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    request.append(name).append(": ").append(value).append("\r\n");
  }
  if (!body.empty() || method == "POST") {
    request.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  }
  request.append("\r\n").append(body);
  Reply reply;
  std::string buffer;
  Message response;
  if (!WriteAll(socket, request)) return reply;
  if (!ReadMessage(socket, /*is_response=*/true, &buffer, &response)) {
    return reply;
  }
  const std::size_t space = response.start.find(' ');
  if (space == std::string::npos) return reply;
  reply.status = std::atoi(response.start.c_str() + space);
  reply.headers = response.headers;
  reply.body = response.body;
  return reply;
}

Reply Call(const std::string& ip, int port, const std::string& method,
           const std::string& path, const Headers& headers,
           const std::string& body, double timeout_s) {
  const int socket = Connect(ip, port, timeout_s);
  if (socket < 0) return {};
  Headers all = headers;
  if (Find(all, "Host").empty()) all.insert(all.begin(), {"Host", ip});
  Reply reply = Exchange(socket, method, path, all, body, timeout_s);
  close(socket);
  return reply;
}

Child::Child(std::string name, std::vector<std::string> args,
             std::string settings_path, std::string log_path)
    : name_(std::move(name)),
      args_(std::move(args)),
      settings_path_(std::move(settings_path)),
      log_path_(std::move(log_path)) {}

Child::~Child() { Kill(); }

void Child::Start() {
  pid_ = fork();
  if (pid_ != 0) return;
  setenv("COLTSFOOTFORK_CONFIG", settings_path_.c_str(), 1);
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  std::vector<char*> argv;
  argv.reserve(args_.size() + 1);
  for (std::string& arg : args_) argv.push_back(arg.data());
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

void Child::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Child::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Child::HasEnded() {
  if (pid_ <= 0) return true;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

double Child::MemoryMegabytes() const {
  if (pid_ <= 0) return 0;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  double pages = 0;
  double resident = 0;
  file >> pages >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

Server::Server(const std::string& ip, int port, Handler handler)
    : handler_(std::move(handler)), listener_(BoundSocket(ip, port)) {
  if (listener_ < 0 || listen(listener_, 256) != 0) std::exit(2);
  accept_thread_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  close(listener_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int socket : sockets_) shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
  for (const int socket : sockets_) close(socket);
}

void Server::Accept() {
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) continue;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    sockets_.push_back(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  Message request;
  while (ReadMessage(socket, /*is_response=*/false, &buffer, &request)) {
    if (!handler_(socket, request)) break;
  }
  shutdown(socket, SHUT_RDWR);
}

std::vector<Machine> ThreeMachines(const std::string& folder) {
  // A network of the loopback range for each run, so that runs do not meet.
  const int number = getpid();
  const std::string net = "127." + std::to_string(20 + number % 200) + "." +
                          std::to_string(number / 200 % 250) + ".";
  std::vector<Machine> machines;
  const std::string zones[] = {"bogota-a", "medellin-b", "cali-c"};
  for (int i = 0; i < 3; ++i) {
    Machine machine;
    machine.name = "front-" + zones[i] + "-1";
    machine.zone = zones[i];
    machine.ip = net + std::to_string(i + 1);
    machine.data_folder = folder + "/data-" + std::to_string(i + 1);
    machines.push_back(machine);
  }
  return machines;
}

Deployment::Deployment(std::string folder, std::vector<Machine> machines)
    : folder_(std::move(folder)), machines_(std::move(machines)) {
  std::vector<std::string> ips;
  ips.reserve(machines_.size());
  for (const Machine& machine : machines_) ips.push_back(machine.ip);
  front_port_ = FreePort(ips);
  ready_port_ = FreePort(ips);
  control_port_ = FreePort(ips);
  fleet_port_ = FreePort(ips);
  controls_.resize(machines_.size());
  entries_.resize(machines_.size());
}

void Deployment::Prepare(std::size_t machine, bool first_start) {
  const Machine& one = machines_[machine];
  const auto address = [&](const std::string& ip, int port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (const Machine& seed : machines_) {
    seeds += (seeds.empty() ? "" : ",") + address(seed.ip, control_port_);
  }
  const std::string common =
      R"({"process":")" + one.name + R"(","availability_zone":")" + one.zone +
      R"(","ip":")" + one.ip + R"(","fleet_port":)" +
      std::to_string(fleet_port_) + R"(,"control_seeds":[)" + seeds + "],";
  const std::string base = folder_ + "/" + one.name;
  WriteFile(base + "-control.json",
            common + R"("control_listen":)" + address(one.ip, control_port_) +
                R"(,"data_folder":")" + one.data_folder +
                R"(","refuse_copies":false,"is_first_start":)" +
                (first_start ? "true" : "false") + "}");
  WriteFile(base + "-entry.json",
            common + R"("callers_listen":)" + address(one.ip, front_port_) +
                R"(,"ready_listen":)" + address(one.ip, ready_port_) +
                R"(,"stop_within_s":8,"repeat_ratio":0.2,)" +
                R"("repeat_window_s":10,"log_level":"info"})");
  // The commands of deploy/system.toml.
  const std::string program =
      Environment("PROGRAM", "target/src/cli/coltsfootfork");
  if (controls_[machine]) return;
  controls_[machine] = std::make_unique<Child>(
      one.name + " control",
      std::vector<std::string>{program, "platform", "control"},
      base + "-control.json", base + "-control.log");
  entries_[machine] = std::make_unique<Child>(
      one.name + " entry",
      std::vector<std::string>{program, "platform", "entry"},
      base + "-entry.json", base + "-entry.log");
}

void Deployment::StartAll() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    controls_[i]->Start();
    entries_[i]->Start();
  }
}

void Deployment::SignalMachine(std::size_t machine, int signal) {
  controls_[machine]->Signal(signal);
  entries_[machine]->Signal(signal);
}

void Deployment::KillAll() {
  // All at the same moment; Kill then reaps each.
  for (std::size_t i = 0; i < machines_.size(); ++i) SignalMachine(i, SIGKILL);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    controls_[i]->Kill();
    entries_[i]->Kill();
  }
}

int Deployment::Put(std::size_t machine, const std::string& document) {
  return Call(machines_[machine].ip, control_port_, "POST", "/api/config/put",
              {{"Content-Type", "application/json"}}, document, 1.0)
      .status;
}

Reply Deployment::Get(std::size_t machine) {
  return Call(machines_[machine].ip, control_port_, "GET", "/api/config/get",
              {}, "", 2.0);
}

int Deployment::PutUntilAcknowledged(std::size_t first,
                                     const std::string& document,
                                     double timeout_s) {
  const double end = Elapsed() + timeout_s;
  for (std::size_t i = first; Elapsed() < end; ++i) {
    const std::size_t machine = i % machines_.size();
    if (Put(machine, document) == 200) return static_cast<int>(machine);
    SleepFor(0.1);
  }
  return -1;
}

bool Deployment::IsReady(std::size_t machine) {
  return Call(machines_[machine].ip, ready_port_, "GET", "/api/readyz", {}, "",
              1.0)
             .status == 200;
}

void Finish(Deployment& deployment, int exit_code) {
  deployment.KillAll();
  std::error_code ignored;
  if (Environment("KEEP", "").empty()) {
    std::filesystem::remove_all(deployment.folder(), ignored);
  }
  Note("exit " + std::to_string(exit_code));
  // Threads of stand-ins may still wait for their connections.
  std::_Exit(exit_code);
}

}  // namespace review
