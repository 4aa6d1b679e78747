#include <algorithm>
#include <nlohmann/json.hpp>

#include "soak/soak_run.h"

// The checks of SoakRun after the faults.
namespace coltsfootfork {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The time after a restart until entries must have received all departures:
// twice the time after which a host counts as in contact again.
constexpr milliseconds kContactTime{6000};
constexpr milliseconds kKilledFor{800};
// Reaches beyond the time for which the kill excuses calls to an evacuated
// zone.
constexpr milliseconds kEvacuatedTime{3000};
// How long calls to a zone are checked between the faults, from when its
// evacuation is in force.
constexpr milliseconds kCheckedTime{3000};
// Many times the interval of the messages between control processes.
constexpr milliseconds kZonesAgreeWithin{5000};

}  // namespace

void SoakRun::CheckEvacuatedZones() {
  const json expected = evacuations_.zones();
  for (const auto& control : fleet_.controls()) {
    const auto end = std::chrono::steady_clock::now() + kZonesAgreeWithin;
    std::string read;
    bool agrees = false;
    while (!agrees && std::chrono::steady_clock::now() < end) {
      bool asked = false;
      SendRequest(control.address, "GET", "/api/evacuations", "",
                  [&](const HttpFetchResult& result) {
                    asked = true;
                    read = result.response ? result.response->body : "";
                  });
      while (!asked) io_.run_one();
      const json document = json::parse(read, nullptr, false);
      agrees =
          document.is_object() && document.value("zones", json()) == expected;
    }
    if (agrees) continue;
    findings_.push_back("evacuated zones at " + control.address + ": " + read +
                        ", ordered " + expected.dump());
  }
}

void SoakRun::CheckEvacuationsEnd() {
  if (RunUntil([this] { return evacuations_.is_idle(); })) {
    return CheckEvacuatedZones();
  }
  findings_.push_back("an order to a zone is not acknowledged");
}

void SoakRun::CheckEvacuationBetweenFaults() {
  processes_are_spared_ = true;
  const std::string zone =
      kServerZones.at(fault_random_() % kServerZones.size());
  const bool ordered =
      RunUntil([&] { return evacuations_.Start(zone, [] {}); }) &&
      RunUntil([this] { return !evacuations_.zones().empty(); });
  if (!ordered) {
    return findings_.push_back("an evacuation is not acknowledged");
  }
  faults_.push_back("evacuate " + zone + ", which is checked for calls");
  RunUntil([&] {
    return std::chrono::steady_clock::now() >=
           arrival_checker_.InForceAt(zone) + kCheckedTime;
  });
  EndEvacuation();
  processes_are_spared_ = false;
}

bool SoakRun::AllReady() {
  auto ready = std::make_shared<std::size_t>(0);
  auto asked = std::make_shared<std::size_t>(0);
  for (const auto& entry : fleet_.entries()) {
    SendRequest(entry.address, "GET", "/api/readyz", "",
                [ready, asked](const HttpFetchResult& result) {
                  ++*asked;
                  if (result.response && result.response->status == 200) {
                    ++*ready;
                  }
                });
  }
  RunUntil([&] { return *asked == fleet_.entries().size(); });
  return *ready == fleet_.entries().size();
}

void SoakRun::CheckRecovery() {
  if (!RunUntil([this] { return AllReady(); })) {
    return findings_.push_back("not ready again");
  }
  const std::uint64_t accepted = checker_.accepted();
  for (const auto& control : fleet_.controls()) {
    bool read = false;
    const bool came = RunUntil([&] {
      bool asked = false;
      SendRequest(control.address, "GET", "/api/config/get", "",
                  [&](const HttpFetchResult& result) {
                    asked = true;
                    read = result.response && result.response->status == 200;
                    if (!read) return;
                    const json document = json::parse(result.response->body);
                    checker_.OnPlanRead(accepted, document.value("version", 0));
                  });
      while (!asked) io_.run_one();
      return read;
    });
    if (!came) {
      findings_.push_back("the plan is not read at " + control.address);
    }
  }
  if (!ServesCallers()) findings_.push_back("callers are not served again");
}

bool SoakRun::ServesCallers() {
  const std::uint64_t served = checker_.served();
  return RunUntil([&] { return checker_.served() >= served + 3 * kCallers; });
}

void SoakRun::CheckDepartures() {
  // The other zone is evacuated, so that calls to these servers are noticed.
  const bool ordered = evacuations_.Start(fleet_.servers()[1].zone, [] {});
  if (!ordered || !RunUntil([this] { return !evacuations_.zones().empty(); })) {
    return findings_.push_back("an evacuation is not acknowledged");
  }
  // One server of each service leaves.
  std::vector<SoakFleet::Server*> leaving = {&fleet_.servers().front(),
                                             &fleet_.servers().back()};
  std::vector<std::string> delayed_heartbeats;
  delayed_heartbeats.reserve(leaving.size());
  std::size_t acknowledged = 0;
  for (SoakFleet::Server* server : leaving) {
    delayed_heartbeats.push_back(SoakFleet::Heartbeat(*server));
    server->deregistered = true;
    SendDeregistration(*server, [&] { ++acknowledged; });
  }
  if (!RunUntil([&] { return acknowledged == leaving.size(); })) {
    findings_.push_back("deregistrations are not acknowledged");
    return;
  }
  Fault kill_all;
  kill_all.kind = FaultKind::kKillAll;
  kill_all.target = FaultTarget::kFleet;
  fleet_.BeginFault(kill_all);
  Pass(kKilledFor);
  fleet_.EndFault(kill_all);
  arrival_checker_.OnProcessFault(std::chrono::steady_clock::now());
  const auto send_delayed = [&] {
    for (std::size_t i = 0; i < leaving.size(); ++i) {
      for (const auto& control : fleet_.controls()) {
        SendTo(control.address, leaving[i]->engine->id(), "/heartbeat",
               delayed_heartbeats[i]);
      }
    }
  };
  Pass(kContactTime / 2);
  send_delayed();
  Pass(kContactTime / 2);
  send_delayed();
  std::vector<int> arrivals;
  arrivals.reserve(leaving.size());
  for (const auto* server : leaving) {
    arrivals.push_back(server->engine->arrivals());
  }
  if (!ServesCallers()) findings_.push_back("callers are not served again");
  for (std::size_t i = 0; i < leaving.size(); ++i) {
    if (leaving[i]->engine->arrivals() > arrivals[i]) {
      findings_.push_back(leaving[i]->engine->id() +
                          " got calls after its deregistration");
    }
    arrivals[i] = leaving[i]->engine->arrivals();
    SoakFleet::StartAnew(*leaving[i]);
  }
  Pass(kEvacuatedTime);
  CheckEvacuatedZones();
  EndEvacuation();
  const bool used = RunUntil([&] {
    for (std::size_t i = 0; i < leaving.size(); ++i) {
      if (leaving[i]->engine->arrivals() == arrivals[i]) return false;
    }
    return true;
  });
  if (!used) findings_.push_back("a new incarnation gets no calls");
}

void SoakRun::CheckSlowLoad() {
  const auto before = slow_load_.served();
  const bool served = RunUntil([&] {
    const auto now = slow_load_.served();
    return std::all_of(now.begin(), now.end(), [&](const auto& kind) {
      return kind.second > before.at(kind.first);
    });
  });
  if (served) return;
  std::string counts;
  for (const auto& [kind, count] : slow_load_.served()) {
    counts += " " + std::to_string(count - before.at(kind));
  }
  findings_.push_back("slow calls are not served again, by kind:" + counts);
}

}  // namespace coltsfootfork
