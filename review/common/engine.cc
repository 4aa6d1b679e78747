#include "engine.h"

#include <chrono>
#include <cstdio>
#include <utility>

namespace review {
namespace {

constexpr double kHeartbeatSeconds = 1.2;

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

Engine::Engine(std::string id, std::string service, std::string zone,
               std::string ip, int port, double work_s)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(ip + ":" + std::to_string(port)),
      work_s_(work_s),
      born_(UnixMilliseconds()),
      server_(std::make_unique<Server>(
          ip, port, [this](int socket, const Message& request) {
            return OnRequest(socket, request);
          })) {}

Engine::~Engine() {
  StopReporting();
  server_.reset();
}

void Engine::SetStream(int events, double gap_s) {
  stream_events_ = events;
  stream_gap_s_ = gap_s;
}

bool Engine::WriteStream(int socket, const std::string& id) {
  std::string bytes =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
      "\r\nResponse-Signature: " + id_ + "." + id +
      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
      "\r\n";
  for (int i = 1; i <= stream_events_; ++i) {
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + std::string(280, 'e') + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    bytes += size + event + "\r\n";
    if (!WriteAll(socket, bytes)) {
      NoteQuietly("run " + id + " at " + id_ + " cut by its caller after " +
                  std::to_string(i - 1) + " events");
      return false;
    }
    bytes.clear();
    SleepFor(stream_gap_s_);
  }
  NoteQuietly("run " + id + " at " + id_ + " ended after its last event");
  return WriteAll(socket, "0\r\n\r\n");
}

bool Engine::OnRequest(int socket, const Message& request) {
  const bool is_health = request.start.rfind("GET /healthz", 0) == 0;
  const std::string id = request.Header("Request-Id");
  std::string status = "200 OK";
  std::string fields;
  std::string body;
  const std::string expected = request.Header("Expect-Instance");
  if (is_health) {
    fields = "Instance-Id: " + id_ + "\r\n";
  } else if (id.empty()) {
    status = "400 Bad Request";
    fields = "Not-Executed: 1\r\n";
  } else if (!expected.empty() && expected != id_) {
    status = "421 Misdirected Request";
    fields = "Request-Id: " + id + "\r\nNot-Executed: 1\r\n";
  } else {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.push_back({id_, id, Elapsed()});
    }
    NoteQuietly("run " + id + " at " + id_);
    if (request.start.rfind("POST /talk/", 0) == 0) {
      return WriteStream(socket, id);
    }
    SleepFor(work_s_);
    body = "{\"ran\":\"" + id + "\"}" + std::string(780, ' ');
    fields = "Request-Id: " + id + "\r\nResponse-Signature: " + id_ + "." + id +
             "\r\n";
  }
  return WriteAll(socket, "HTTP/1.1 " + status + "\r\n" + fields +
                              "Keep-Alive: timeout=10\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string Engine::NextHeartbeat(const std::string& state) {
  const std::uint64_t sequence = ++sequence_;
  return R"({"service":")" + service_ + R"(","address":")" + address_ +
         R"(","zone":")" + zone_ + R"(","version":"v1","slots":6,"state":")" +
         state + R"(","cold_left_ms":0,"sequence":)" +
         std::to_string(sequence) + R"(,"born":)" + std::to_string(born_) + "}";
}

int Engine::TellOne(std::size_t control, const std::string& suffix,
                    const std::string& body) {
  const std::string& ip = control_ips_[control % control_ips_.size()];
  return Call(ip, control_port_, "POST", "/api/instances/" + id_ + suffix,
              {{"Content-Type", "application/json"}}, body, 1.0)
      .status;
}

bool Engine::Tell(const std::string& suffix, const std::string& body,
                  double timeout_s) {
  const double end = Elapsed() + timeout_s;
  for (std::size_t i = 0; Elapsed() < end; ++i) {
    if (TellOne(i, suffix, body) / 100 == 2) return true;
    SleepFor(0.05);
  }
  return false;
}

void Engine::Report(std::vector<std::string> control_ips, int control_port) {
  control_ips_ = std::move(control_ips);
  control_port_ = control_port;
  reporting_ = true;
  reporter_ = std::thread([this] {
    while (reporting_) {
      Tell("/heartbeat", NextHeartbeat("ready"), 1.0);
      const double next = Elapsed() + kHeartbeatSeconds;
      while (reporting_ && Elapsed() < next) SleepFor(0.02);
    }
  });
}

void Engine::StopReporting() {
  reporting_ = false;
  if (reporter_.joinable()) reporter_.join();
}

std::vector<Run> Engine::Runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

}  // namespace review
