// An entry is stopped with SIGTERM. Consumers with kept, idle connections to it
// send requests for streams a little later than three seconds after that.
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "harness.h"

namespace {

using review::Note;

constexpr int kConsumers = 8;
// Of the rule LOST: what is sent no later than this is excused.
constexpr double kExcusedSeconds = 3.0;
constexpr double kFirstSend = 3.05;
constexpr double kLastSend = 3.15;
// Of the site: grace_s.
constexpr double kGraceSeconds = 8.0;
constexpr int kEvents = 54;
constexpr double kGapSeconds = 0.1;

std::string Document() {
  return R"({"version":1,"routes":[{"name":"r1","host":"a.example",)"
         R"("path_prefix":"/x/","kind":"idempotent","timeout_ms":2000,)"
         R"("goal_ms":300,"priority":2,"service":"mirror","max_attempts":2,)"
         R"("public":false},{"name":"r2","host":"a.example",)"
         R"("path_prefix":"/talk/","kind":"streaming","timeout_ms":6000,)"
         R"("goal_ms":1500,"priority":0,"service":"mirror","max_attempts":2,)"
         R"("public":false,"sticky":true,"resumable":true,)"
         R"("gap_target_ms":180}],"services":[{"name":"mirror",)"
         R"("health_path":"/healthz","max_conns":272,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":24,"kv_capacity_tokens":34219,)"
         R"("kv_token_bytes":163840,"link_mbps":24000.0,"moves":true,)"
         R"("backups":true,"stride":4,"most":12,"pin_ms":4000.0,)"
         R"("hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"t1","api_keys":["key1"]}]})";
}

review::Headers Fields(const std::string &id) {
  return {{"Host", "a.example"},
          {"Request-Id", id},
          {"Deadline-Ms", "6000"},
          {"Credential", "key1"},
          {"Model", "m"},
          {"Token-Counts", "400,400"},
          {"Prefix-Hash", id + ":400"}};
}

}  // namespace

int main(int argc, char **argv) {
  if (argc < 2) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  review::OpenRecord(std::string(argv[1]) + "/record.txt");
  const std::string folder = review::TemporaryFolder();
  const bool trouble = review::HasTrouble();
  Note(trouble ? "TROUBLE=1" : "TROUBLE=0");
  review::Deployment fleet(folder, review::ThreeMachines(folder));
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Prepare(i, true);
  fleet.StartAll();
  if (fleet.PutUntilAcknowledged(0, Document(), 15.0) < 0) {
    review::Finish(fleet, 2);
  }
  std::vector<std::string> control_ips;
  std::vector<std::unique_ptr<review::Engine>> engines;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    control_ips.push_back(fleet.machine(i).ip);
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    const std::string &ip = fleet.machine(i).ip;
    engines.push_back(std::make_unique<review::Engine>(
        "i-" + std::to_string(i + 1), "mirror", fleet.machine(i).zone, ip,
        review::FreePort({ip}), 0.02));
    engines.back()->SetStream(kEvents, kGapSeconds);
    engines.back()->Report(control_ips, fleet.control_port());
  }
  constexpr std::size_t kStopped = 1;
  review::SleepFor(5.0);
  const double stop_at = review::Elapsed() + 1.5;
  std::atomic<int> prepared{0};
  std::atomic<int> complete{0};
  std::atomic<int> unread{0};
  std::mutex mutex;
  std::set<std::string> cut;
  std::vector<std::thread> consumers;
  for (int i = 0; i < kConsumers; ++i) {
    consumers.emplace_back([&, i] {
      const std::string &ip = fleet.machine(kStopped).ip;
      const int socket = review::Connect(ip, fleet.front_port(), 2.0);
      const std::string name = "c" + std::to_string(i);
      const review::Reply first = review::Exchange(
          socket, "POST", "/x/1", Fields(name + "-1"), "read", 2.0);
      if (first.status == 200 && first.Header("Connection") != "close") {
        ++prepared;
      }
      const double send_at = stop_at + kFirstSend +
                             (kLastSend - kFirstSend) * i / (kConsumers - 1);
      review::SleepUntil(send_at);
      const double sent = review::Elapsed();
      const review::Reply reply = review::Exchange(
          socket, "POST", "/talk/1", Fields(name + "-2"), "talk", 8.0);
      Note("request " + name + "-2 sent " + std::to_string(sent - stop_at) +
           " s after the signal, " +
           (reply.status == 200 ? "complete stream"
                                : "ended without a complete answer (" +
                                      std::to_string(reply.status) + ")") +
           " " + std::to_string(review::Elapsed() - stop_at) +
           " s after the signal");
      if (reply.status == 200) {
        ++complete;
      } else if (reply.status == 0 && sent - stop_at > kExcusedSeconds) {
        const std::lock_guard<std::mutex> lock(mutex);
        cut.insert(name + "-2");
      }
      close(socket);
    });
  }
  review::SleepUntil(stop_at);
  if (prepared < kConsumers) review::Finish(fleet, 2);
  if (trouble) {
    fleet.entry(kStopped).Signal(SIGTERM);
    Note("SIGTERM to the entry of machine 2");
    review::SleepUntil(stop_at + kGraceSeconds);
    const bool ended = fleet.entry(kStopped).HasEnded();
    Note(ended ? "the entry has ended by itself within grace_s"
               : "the entry is killed after grace_s");
    fleet.entry(kStopped).Kill();
    fleet.entry(kStopped).Start();
  }
  for (std::thread &consumer : consumers) consumer.join();
  // Only what has been passed on to an engine counts.
  int lost = 0;
  for (const auto &engine : engines) {
    for (const review::Run &run : engine->Runs()) {
      lost += static_cast<int>(cut.count(run.id));
    }
  }
  Note("streams complete " + std::to_string(complete.load()) +
       ", passed on to an engine and cut " + std::to_string(lost));
  Note(lost == 0 ? "the rule held" : "the rule was broken");
  review::Finish(fleet, lost == 0 ? 0 : 1);
}
