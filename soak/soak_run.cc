#include "soak/soak_run.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
constexpr milliseconds kChangeInterval{250};
constexpr milliseconds kReadInterval{120};
constexpr milliseconds kMemoryInterval{250};
constexpr std::chrono::seconds kRequestTimeoutOfRun{3};
constexpr milliseconds kCallerTimeout{6000};
constexpr milliseconds kRetryInterval{100};
// Heartbeats may be delayed by seconds.
constexpr int kMinHeartbeatDelayMs = 200;
constexpr int kMaxHeartbeatDelayMs = 6000;
// One run in this many has a gap in which an evacuation is checked for calls.
constexpr std::uint64_t kSeedsPerGap = 4;
// An upper limit far above the expected time of any step; not a measured bound.
constexpr std::chrono::seconds kRunUntilTimeout{90};

json Route(const std::string& name, const std::string& kind,
           const std::string& service, int attempts) {
  return {{"name", name},
          {"host", "a.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"service", service},
          {"timeout_ms", 6000},
          {"goal_ms", 1000},
          {"max_attempts", attempts}};
}

// A route of calls that take long, because the caller or the server reads
// slowly.
json SlowRoute(const std::string& name, const std::string& kind,
               const std::string& service) {
  json route = Route(name, kind, service, 1);
  route["timeout_ms"] = 30000;
  return route;
}

std::string Document(std::uint64_t version) {
  const json engine = {{"slots", 24},         {"kv_capacity_tokens", 30000},
                       {"kv_token_bytes", 1}, {"link_mbps", 1000.0},
                       {"moves", true},       {"backups", true},
                       {"stride", 4}};
  json verdict = Route("verdict", "streaming", "model", 2);
  verdict["resumable"] = true;
  const json model = {{"name", "model"},
                      {"max_conns", 200},
                      {"engine", engine},
                      {"cold_per_s", kModelColdLimit.per_second}};
  const json document = {{"version", version},
                         {"routes",
                          {Route("talk", "streaming", "model", 1), verdict,
                           Route("sale", "non_idempotent", "ledger", 2),
                           Route("stock", "idempotent", "ledger", 3),
                           SlowRoute("replay", "streaming", "bulk"),
                           SlowRoute("export", "idempotent", "bulk"),
                           SlowRoute("import", "non_idempotent", "uploads")}},
                         {"services",
                          {model,
                           {{"name", "ledger"}, {"max_conns", 200}},
                           {{"name", "bulk"}, {"max_conns", 200}},
                           {{"name", "uploads"}, {"max_conns", 200}}}}};
  return document.dump();
}

}  // namespace

SoakRun::SoakRun(const SoakOptions& options)
    : options_(options),
      random_(options.seed),
      fault_random_(random_()),
      fleet_(io_, {options.mix, options.entries, options.disk_fault_share}),
      checker_(options.mix == FaultMix::kPlanned ? kEventsOfLongStream
                                                 : kEventsOfStream,
               options.mix == FaultMix::kPlanned),
      evacuations_(io_, fleet_.controls(), arrival_checker_),
      slow_load_(io_, fleet_) {
  for (auto& server : fleet_.servers()) {
    server.engine->SetOnArrival([this, &server](const std::string& call) {
      arrival_checker_.OnArrival(server.engine->id(), server.zone, call,
                                 std::chrono::steady_clock::now());
    });
  }
  std::vector<SoakCaller::Entry> entries;
  for (const auto& entry : fleet_.entries()) {
    entries.push_back(
        {entry.proxy->address(), [&entry] { return entry.stopping; }});
  }
  std::vector<milliseconds> timeouts = {kCallerTimeout};
  if (options.mix == FaultMix::kPlanned) {
    // A stopping entry has time for the shorter ones.
    timeouts.insert(timeouts.end(), {milliseconds(400), milliseconds(1200)});
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers_.push_back(std::make_unique<SoakCaller>(
        io_, "c" + std::to_string(i), entries, timeouts, random_(),
        [this](const std::string& call, SoakKind kind,
               const ObservedResponse& observed) {
          checker_.OnResponse(call, kind, observed);
        }));
  }
}

void SoakRun::SendRequest(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& body,
                          Answered done) {
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.body = body;
  HttpFetch(io_, ParseEndpoint(address).value(), request, kRequestTimeoutOfRun,
            std::move(done));
}

bool SoakRun::RunUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kRunUntilTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    io_.run_one_for(milliseconds(50));
  }
  return true;
}

void SoakRun::Pass(milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunUntil([&] { return std::chrono::steady_clock::now() >= end; });
}

void SoakRun::Repeat(milliseconds pause, std::function<void()> work) {
  timers_.push_back(std::make_unique<boost::asio::steady_timer>(io_));
  boost::asio::steady_timer& timer = *timers_.back();
  auto again = std::make_shared<std::function<void()>>();
  *again = [this, &timer, pause, work = std::move(work),
            weak = std::weak_ptr(again)] {
    if (finished_) return;
    work();
    timer.expires_after(pause);
    timer.async_wait([again = weak.lock()](error_code error) {
      if (!error && again) (*again)();
    });
  };
  (*again)();
}

std::string SoakRun::AnyControl() {
  auto& controls = fleet_.controls();
  std::uniform_int_distribution<std::size_t> index(0, controls.size() - 1);
  return controls[index(random_)].address;
}

void SoakRun::SendHeartbeats() {
  for (auto& server : fleet_.servers()) {
    if (server.down || server.deregistered) continue;
    const std::string id = server.engine->id();
    const auto cold_until = server.cold_until;
    SendRequest(AnyControl(), "POST", "/api/instances/" + id + "/heartbeat",
                SoakFleet::Heartbeat(server),
                [this, id, cold_until](const HttpFetchResult& result) {
                  if (!result.response || result.response->status != 200) {
                    return;
                  }
                  const auto now = std::chrono::steady_clock::now();
                  if (cold_until > now) {
                    arrival_checker_.OnColdReported(id, cold_until, now);
                  }
                });
  }
}

void SoakRun::SendHeartbeatsOfSlowLoad() {
  for (const auto& [server, heartbeat] : slow_load_.Heartbeats()) {
    SendTo(AnyControl(), server, "/heartbeat", heartbeat);
  }
}

void SoakRun::SendTo(const std::string& control, const std::string& server,
                     const std::string& suffix, const std::string& body) {
  SendRequest(control, "POST", "/api/instances/" + server + suffix, body,
              [](const HttpFetchResult&) {});
}

void SoakRun::After(milliseconds delay, std::function<void()> work) {
  timers_.push_back(std::make_unique<boost::asio::steady_timer>(io_));
  timers_.back()->expires_after(delay);
  timers_.back()->async_wait([this, work = std::move(work)](error_code error) {
    if (!error && !finished_) work();
  });
}

void SoakRun::Deregister(SoakFleet::Server& server) {
  const std::string id = server.engine->id();
  std::uniform_int_distribution<int> delays(kMinHeartbeatDelayMs,
                                            kMaxHeartbeatDelayMs);
  After(milliseconds(delays(random_)),
        [this, id, heartbeat = SoakFleet::Heartbeat(server)] {
          SendTo(AnyControl(), id, "/heartbeat", heartbeat);
        });
  server.deregistered = true;
  SendDeregistration(server, [] {});
}

void SoakRun::SendDeregistration(SoakFleet::Server& server,
                                 std::function<void()> acknowledged) {
  const std::uint64_t incarnation = server.incarnation;
  SendRequest(
      AnyControl(), "POST",
      "/api/instances/" + server.engine->id() + "/deregister",
      SoakFleet::Deregistration(server),
      [this, &server, incarnation,
       acknowledged = std::move(acknowledged)](const HttpFetchResult& result) {
        if (result.response && result.response->status == 200) {
          return acknowledged();
        }
        After(kRetryInterval, [this, &server, incarnation, acknowledged] {
          // The next incarnation has started without an acknowledgement.
          if (server.incarnation != incarnation) return;
          SendDeregistration(server, acknowledged);
        });
      });
}

void SoakRun::ChangePlan() {
  const std::uint64_t version = ++version_;
  SendRequest(AnyControl(), "POST", "/api/config/put", Document(version),
              [this, version](const HttpFetchResult& result) {
                if (result.response && result.response->status == 200) {
                  checker_.OnPlanAcknowledged(version);
                }
              });
}

void SoakRun::ReadPlan() {
  const std::uint64_t before = checker_.accepted();
  SendRequest(AnyControl(), "GET", "/api/config/get", "",
              [this, before](const HttpFetchResult& result) {
                if (!result.response || result.response->status != 200) return;
                const json document =
                    json::parse(result.response->body, nullptr, false);
                const bool readable = document.is_object();
                checker_.OnPlanRead(
                    before, readable ? document.value("version", 0) : 0);
              });
}

void SoakRun::NextFault() {
  if (!injecting_faults_) return;
  const Fault fault =
      DrawFault(options_.mix, fleet_.target_counts(), fault_random_);
  if (processes_are_spared_ && (fault.target != FaultTarget::kServer)) {
    return After(DrawFaultPause(fault_random_), [this] { NextFault(); });
  }
  faults_.push_back(fault.ToText());
  fleet_.BeginFault(fault);
  const auto ends_at = std::chrono::steady_clock::now() + fault.duration;
  if (DisturbsProcess(fault)) arrival_checker_.OnProcessFault(ends_at);
  if (fault.kind == FaultKind::kEvacuate) {
    Evacuate(kServerZones.at(fault.number), fault.duration);
  }
  if (fault.target == FaultTarget::kServer &&
      (fault.kind == FaultKind::kDelay ||
       fault.kind == FaultKind::kStallToTarget)) {
    arrival_checker_.OnCallsHeldBack(
        fleet_.servers().at(fault.number).engine->id(), ends_at);
  }
  if (fault.kind == FaultKind::kDeregister) {
    Deregister(fleet_.servers().at(fault.number));
  }
  After(fault.duration, [this, fault] { fleet_.EndFault(fault); });
  After(DrawFaultPause(fault_random_), [this] { NextFault(); });
}

void SoakRun::Evacuate(const std::string& zone, milliseconds duration) {
  const bool ordered = evacuations_.Start(
      zone, [this, duration] { After(duration, [this] { EndEvacuation(); }); });
  if (!ordered) faults_.back() += " (not ordered: one is in progress)";
}

void SoakRun::EndEvacuation() {
  const std::string zone = evacuations_.zones().front();
  evacuations_.End([this, zone] {
    for (auto& server : fleet_.servers()) {
      if (server.zone == zone) SoakFleet::SetCold(server, kColdAfterStart);
    }
  });
}

const std::vector<std::string>& SoakRun::KeepLogs() {
  if (!findings_.empty() && !options_.logs.empty()) {
    fleet_.KeepLogs(options_.logs + "/seed-" + std::to_string(options_.seed));
  }
  return findings_;
}

const std::vector<std::string>& SoakRun::Run() {
  Repeat(kHeartbeatInterval, [this] {
    SendHeartbeats();
    SendHeartbeatsOfSlowLoad();
  });
  Repeat(kChangeInterval, [this] { ChangePlan(); });
  if (!RunUntil([this] { return AllReady(); })) {
    findings_.push_back("never ready");
    return KeepLogs();
  }
  Repeat(kReadInterval, [this] { ReadPlan(); });
  for (const auto& caller : callers_) caller->Start();
  slow_load_.Start();
  Repeat(kMemoryInterval, [this] { slow_load_.CheckMemory(); });
  if (options_.plant_fault) {
    fleet_.servers().back().engine->SetRunsRejectedCalls(true);
  }
  NextFault();
  Pass(options_.duration / 2);
  if (options_.seed % kSeedsPerGap == 0) CheckEvacuationBetweenFaults();
  Pass(options_.duration / 2);
  injecting_faults_ = false;
  // Every fault ends by its own timer.
  const auto faults_ended_at =
      std::chrono::steady_clock::now() + kMaxFaultDuration;
  RunUntil([&] { return std::chrono::steady_clock::now() >= faults_ended_at; });
  CheckRecovery();
  recovered_in_ = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - faults_ended_at);
  if (options_.recovery_limit.count() > 0 &&
      recovered_in_ > options_.recovery_limit) {
    findings_.push_back("recovered only in " +
                        std::to_string(recovered_in_.count()) + " ms");
  }
  // Evacuations may last longer than other faults.
  CheckEvacuationsEnd();
  if (options_.mix == FaultMix::kAll) CheckDepartures();
  CheckEvacuationsEnd();
  CheckSlowLoad();
  slow_load_.Stop();
  for (const auto& caller : callers_) caller->Stop();
  RunUntil([this] {
    for (const auto& caller : callers_) {
      if (!caller->is_idle()) return false;
    }
    return true;
  });
  finished_ = true;
  for (const auto& server : fleet_.servers()) {
    checker_.OnRuns(server.engine->runs_by_call());
  }
  checker_.CheckRuns();
  for (const auto* findings :
       {&checker_.findings(), &arrival_checker_.findings(),
        &slow_load_.findings()}) {
    findings_.insert(findings_.end(), findings->begin(), findings->end());
  }
  return KeepLogs();
}

}  // namespace coltsfootfork
