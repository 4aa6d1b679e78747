// Consumers send requests with a field of over 64 KiB, below header_bytes.
// Exits with 1 if that cuts more than three requests of other consumers that
// sound engines run, 0 if not.

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "deployment-2.h"

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntries = 2;
constexpr int kLongRequests = 3;
constexpr int kConsumers = 4;
constexpr int kMostCut = 3;
constexpr milliseconds kWork{300};
// The platform starts a process again after a short delay.
constexpr milliseconds kRestartInterval{300};

constexpr char kPlan[] =
    R"({"version":7,"routes":[{"name":"r-1","host":"shop.example",)"
    R"("path_prefix":"/sale/","kind":"non_idempotent","timeout_ms":4000,)"
    R"("goal_ms":300,"priority":0,"service":"ledger","max_attempts":1,)"
    R"("public":false},{"name":"r-2","host":"shop.example",)"
    R"("path_prefix":"/stock/","kind":"idempotent","timeout_ms":4000,)"
    R"("goal_ms":300,"priority":0,"service":"ledger","max_attempts":2,)"
    R"("public":false}],"services":[{"name":"ledger",)"
    R"("health_path":"/healthz","max_conns":120,"protocol":"h1","tls":false}],)"
    R"("limits":{"header_bytes":131072,"body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"stall","api_keys":["key-1"],"priority":1}]})";

class SlowEngine : public review::Engine {
 public:
  using Engine::Engine;

  bool HasRun(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_.count(request) != 0;
  }

 protected:
  bool Answer(int descriptor, const review::ReceivedRequest& request) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      runs_.insert(request.Field("request-id"));
    }
    review::Sleep(kWork);
    return Engine::Answer(descriptor, request);
  }

 private:
  std::mutex mutex_;
  std::set<std::string> runs_;
};

std::string Head(const std::string& method, const std::string& path,
                 const std::string& id) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\nCredential: key-1\r\n";
}

// Parts of a prompt, as ID:TOKENS entries.
std::string PrefixHash(std::size_t bytes) {
  std::string parts;
  for (int i = 0; parts.size() < bytes; ++i) {
    char part[24];
    std::snprintf(part, sizeof(part), "%s%08x:16", i == 0 ? "" : ",", i);
    parts += part;
  }
  return parts;
}

}  // namespace

int main() {
  review::Record record(review::Variable("RECORD", "record.txt"));
  review::Deployment deployment(record);
  SlowEngine engine(record, "i-1", "127.0.31.20");
  engine.Run();
  deployment.Start(kEntries);
  deployment.Put(kPlan);
  std::string beat =
      engine.Heartbeat("ledger", "ready", review::UnixMilliseconds(), 1);
  beat.replace(beat.find("\"slots\":6"), 9, "\"slots\":24");
  deployment.Control(0, "POST", "/api/instances/i-1/heartbeat", beat);
  for (std::size_t i = 0; i < kEntries; ++i) deployment.AwaitReady(i);

  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::string> unanswered;
  int answered = 0;
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] {
      const std::string ip =
          deployment.entry_ip(static_cast<std::size_t>(i) % kEntries);
      int channel = -1;
      for (int n = 0; !stopping; ++n) {
        if (channel < 0) {
          channel =
              review::Connect(ip, deployment.entry_port(), milliseconds(5000));
        }
        if (channel < 0) {
          review::Sleep(milliseconds(100));
          continue;
        }
        const std::string id =
            "sale-" + std::to_string(i) + "-" + std::to_string(n);
        std::string answer;
        char chunk[4096];
        if (review::SendAll(channel, Head("POST", "/sale/x", id) +
                                         "Content-Length: 0\r\n\r\n")) {
          const ssize_t size = read(channel, chunk, sizeof(chunk));
          if (size > 0) answer.assign(chunk, static_cast<std::size_t>(size));
        }
        const std::lock_guard<std::mutex> lock(mutex);
        if (!answer.empty()) {
          ++answered;
          continue;
        }
        close(channel);
        channel = -1;
        if (engine.HasRun(id)) unanswered.push_back(id);
      }
      if (channel >= 0) close(channel);
    });
  }

  std::map<std::string, int> ends;
  std::thread platform([&] {
    while (!stopping) {
      for (const std::string& name : deployment.RestartEnded()) ++ends[name];
      review::Sleep(kRestartInterval);
    }
  });

  review::Sleep(milliseconds(1000));
  const std::string prefix = PrefixHash(review::HasTrouble() ? 70'000 : 60'000);
  int served = 0;
  for (int i = 0; i < kLongRequests; ++i) {
    // A consumer retries an idempotent request after any failure, on a new
    // channel, which reaches another node.
    for (std::size_t attempt = 0; attempt < kEntries; ++attempt) {
      const std::string id =
          "long-" + std::to_string(i) + "-" + std::to_string(attempt);
      const review::Response response = review::Call(
          deployment.entry_ip(attempt), deployment.entry_port(), "GET",
          "/stock/x",
          "Host: shop.example\r\nDeadline-Ms: 4000\r\nCredential: "
          "key-1\r\nRequest-Id: " +
              id + "\r\nModel: m\r\nToken-Counts: 90000,10\r\nPrefix-Hash: " +
              prefix + "\r\n",
          "");
      record.Write("request " + id + " to entry " +
                   std::to_string(attempt + 1) + ", Prefix-Hash of " +
                   std::to_string(prefix.size()) + " bytes -> " +
                   (response.status == 0 ? "channel closed"
                                         : std::to_string(response.status)));
      if (response.status == 200) {
        ++served;
        break;
      }
      review::Sleep(milliseconds(500));
    }
    review::Sleep(milliseconds(4000));
  }
  stopping = true;
  for (std::thread& consumer : consumers) consumer.join();
  platform.join();

  for (const std::string& id : unanswered) {
    record.Write("request " + id +
                 " was run by the engine, and its channel closed without an "
                 "answer");
  }
  for (const auto& [name, count] : ends) {
    record.Write(name + " ended by itself " + std::to_string(count) + " times");
  }
  record.Write("requests of other consumers: " + std::to_string(answered) +
               " answered, " + std::to_string(unanswered.size()) +
               " run and cut; long requests served: " + std::to_string(served) +
               " of " + std::to_string(kLongRequests));
  if (static_cast<int>(unanswered.size()) > kMostCut) return 1;
  if (!review::HasTrouble() && served != kLongRequests) return 2;
  return answered > 0 ? 0 : 2;
}
