#include "soak/arrival_checker.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An evacuation is in force this long after its acknowledgement, and this long
// after the last fault of a process.
constexpr seconds kEvacuationTakesEffect{5};
constexpr seconds kExtensionByFaults{8};
// The news that a server is cold reaches undisturbed entries within this time.
constexpr seconds kColdTakesEffect{1};
constexpr seconds kColdPeriod{1};
// The proxies look every 10 ms whether calls are still held back.
constexpr milliseconds kReleaseTime{100};

}  // namespace

void ArrivalChecker::OnEvacuationStarted(const std::string& zone, Time now) {
  evacuated_since_[zone] = now;
}

void ArrivalChecker::OnEvacuationEnds(const std::string& zone) {
  evacuated_since_.erase(zone);
}

ArrivalChecker::Time ArrivalChecker::InForceAt(const std::string& zone) const {
  const auto since = evacuated_since_.find(zone);
  if (since == evacuated_since_.end()) return Time::max();
  return std::max(since->second + kEvacuationTakesEffect,
                  process_faults_end_at_ + kExtensionByFaults);
}

void ArrivalChecker::OnProcessFault(Time ends_at) {
  process_faults_end_at_ = std::max(process_faults_end_at_, ends_at);
}

void ArrivalChecker::OnColdReported(const std::string& server, Time cold_until,
                                    Time now) {
  ColdServer& cold = cold_[server];
  if (now >= cold.until) cold = {now + kColdTakesEffect, cold_until, {}};
  cold.until = std::max(cold.until, cold_until);
}

void ArrivalChecker::OnCallsHeldBack(const std::string& server, Time ends_at) {
  Time& until = held_back_until_[server];
  until = std::max(until, ends_at + kReleaseTime);
}

void ArrivalChecker::OnArrival(const std::string& server,
                               const std::string& zone, const std::string& call,
                               Time now) {
  CheckCold(server, call, now);
  if (now <= InForceAt(zone)) return;
  const auto late =
      std::chrono::duration_cast<milliseconds>(now - evacuated_since_.at(zone));
  findings_.push_back(call + ": arrived at " + server + " in " + zone + ", " +
                      std::to_string(late.count()) +
                      " ms after its evacuation was acknowledged");
}

std::string ArrivalChecker::SinceHeldBack(const std::string& server,
                                          Time now) const {
  const auto found = held_back_until_.find(server);
  if (found == held_back_until_.end() || found->second == Time()) {
    return "no calls to it were held back";
  }
  const auto since =
      std::chrono::duration_cast<milliseconds>(now - found->second);
  return std::to_string(since.count()) + " ms after calls to it were held back";
}

void ArrivalChecker::CheckCold(const std::string& server,
                               const std::string& call, Time now) {
  const auto found = cold_.find(server);
  if (found == cold_.end()) return;
  ColdServer& cold = found->second;
  if (now < cold.from || now >= cold.until) return;
  auto& arrivals = cold.arrivals;
  if (now < held_back_until_[server]) return arrivals.clear();
  arrivals.push_back(now);
  while (now - arrivals.front() >= kColdPeriod) arrivals.pop_front();
  max_cold_request_rate_ = std::max(max_cold_request_rate_, arrivals.size());
  const double bound = limit_.per_second * limit_.overage + limit_.slack;
  if (static_cast<double>(arrivals.size()) <= bound) return;
  findings_.push_back(call + ": call " + std::to_string(arrivals.size()) +
                      " in a second at " + server + ", which is cold, " +
                      SinceHeldBack(server, now));
  // The same calls are not reported again.
  arrivals.clear();
}

}  // namespace coltsfootfork
