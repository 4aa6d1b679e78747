// An engine deregisters, and the deregistration is acknowledged. Then all
// processes of the core are killed at the same moment, and are back within a
// second. A heartbeat that the engine sent before it deregistered arrives late.
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

#include "engine.h"
#include "harness.h"

namespace {

using review::Note;

// Of the site: drain_ms and contact_ms.
constexpr double kDrainSeconds = 2.0;
constexpr double kContactSeconds = 3.0;
constexpr double kDownSeconds = 0.8;

std::string Document(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r1","host":"a.example","path_prefix":"/x/",)"
         R"("kind":"non_idempotent","timeout_ms":2000,"goal_ms":300,)"
         R"("priority":2,"service":"ledger","max_attempts":1,"public":false}],)"
         R"("services":[{"name":"ledger","health_path":"/healthz",)"
         R"("max_conns":130,"protocol":"h1","tls":false}],)"
         R"("limits":{"header_bytes":16384,"body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"t1","api_keys":["key1"]}]})";
}

// Sends one request after the other to one entry, on kept connections.
void Consume(review::Deployment& fleet, std::size_t machine,
             const std::atomic<bool>& stop) {
  const std::string& ip = fleet.machine(machine).ip;
  int socket = -1;
  for (int number = 1; !stop; ++number) {
    review::SleepFor(0.1);
    if (!fleet.IsReady(machine)) continue;
    if (socket < 0) socket = review::Connect(ip, fleet.front_port(), 1.0);
    if (socket < 0) continue;
    const std::string id =
        "c" + std::to_string(machine) + "-" + std::to_string(number);
    const review::Reply reply = review::Exchange(socket, "POST", "/x/1",
                                                 {{"Host", "a.example"},
                                                  {"Request-Id", id},
                                                  {"Deadline-Ms", "4000"},
                                                  {"Credential", "key1"}},
                                                 "sale", 4.0);
    review::NoteQuietly("request " + id + " to machine " +
                        std::to_string(machine + 1) + " answered " +
                        std::to_string(reply.status));
    if (reply.status == 0 || reply.Header("Connection") == "close") {
      close(socket);
      socket = -1;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  review::OpenRecord(std::string(argv[1]) + "/record.txt");
  const std::string folder = review::TemporaryFolder();
  const bool trouble = review::HasTrouble();
  Note(trouble ? "TROUBLE=1" : "TROUBLE=0");
  review::Deployment fleet(folder, review::ThreeMachines(folder));
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Prepare(i, true);
  fleet.StartAll();
  std::vector<std::string> control_ips;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    control_ips.push_back(fleet.machine(i).ip);
  }
  if (fleet.PutUntilAcknowledged(0, Document(1), 15.0) < 0) {
    review::Finish(fleet, 2);
  }
  Note("version 1 acknowledged");
  const std::string& ip = fleet.machine(0).ip;
  review::Engine leaving("i-leaving", "ledger", fleet.machine(0).zone, ip,
                         review::FreePort({ip}), 0.02);
  review::Engine staying("i-staying", "ledger", fleet.machine(0).zone, ip,
                         review::FreePort({ip}), 0.02);
  leaving.Report(control_ips, fleet.control_port());
  staying.Report(control_ips, fleet.control_port());
  std::atomic<bool> stop{false};
  std::vector<std::thread> consumers;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    consumers.emplace_back([&, i] { Consume(fleet, i, stop); });
  }
  review::SleepFor(5.0);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Prepare(i, false);
  Note("runs so far: leaving " + std::to_string(leaving.Runs().size()) +
       ", staying " + std::to_string(staying.Runs().size()));
  // The engine sends this heartbeat now; the network delivers it late.
  leaving.StopReporting();
  const std::string late_heartbeat = leaving.NextHeartbeat("ready");
  Note("engine i-leaving sends a heartbeat that will arrive late: " +
       late_heartbeat);
  const bool told = leaving.Tell(
      "/deregister",
      R"({"sequence":99,"born":)" + std::to_string(leaving.born()) + "}", 5.0);
  if (!told || leaving.Runs().empty() || staying.Runs().empty()) {
    Note("could not run");
    review::Finish(fleet, 2);
  }
  const double acknowledged = review::Elapsed();
  Note("deregistration of i-leaving acknowledged");
  review::SleepFor(0.2);
  const bool kills_all =
      trouble && review::Environment("TROUBLE", "1") != "one";
  if (kills_all) {
    fleet.KillAll();
    Note("all processes of the core killed");
  } else if (trouble) {
    fleet.SignalMachine(0, SIGKILL);
    fleet.control(0).Kill();
    fleet.entry(0).Kill();
    Note("the processes of machine 1 killed");
  }
  review::SleepFor(kDownSeconds);
  if (kills_all) {
    fleet.StartAll();
  } else if (trouble) {
    fleet.control(0).Start();
    fleet.entry(0).Start();
  }
  if (trouble) Note("the killed processes started again");
  const double started = review::Elapsed();
  // An entry that was started alone needs some seconds until it is subscribed
  // to the control process of its machine again.
  review::SleepFor(trouble && !kills_all ? 3 * kContactSeconds
                                         : kContactSeconds + 0.2);
  const int status = leaving.TellOne(0, "/heartbeat", late_heartbeat);
  Note("the late heartbeat arrives: " + std::to_string(status));
  // Only what is sent later than twice contact_ms after the start is judged.
  const double judged_from = started + 2 * kContactSeconds;
  review::SleepFor(7.0);
  stop = true;
  for (std::thread& consumer : consumers) consumer.join();
  int late_runs = 0;
  int runs_in_touch = 0;
  int served = 0;
  for (const review::Run& run : leaving.Runs()) {
    if (run.at <= acknowledged + kDrainSeconds) continue;
    ++late_runs;
    if (run.at < judged_from) continue;
    ++runs_in_touch;
    if (runs_in_touch <= 10) {
      Note("i-leaving ran " + run.id + " at " + std::to_string(run.at) + ", " +
           std::to_string(run.at - acknowledged) + " s after the ack");
    }
  }
  for (const review::Run& run : staying.Runs()) {
    if (run.at > judged_from) ++served;
  }
  Note("runs at i-leaving later than drain_ms after the ack: " +
       std::to_string(late_runs) + ", of them with machines in touch " +
       std::to_string(runs_in_touch) + "; runs at i-staying in that time " +
       std::to_string(served));
  if (served == 0) review::Finish(fleet, 2);
  Note(runs_in_touch == 0 ? "the rule held" : "the rule was broken");
  review::Finish(fleet, runs_in_touch == 0 ? 0 : 1);
}
