#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace coltsfootfork {

// What a cold server takes, as in the plan and the settings of the entries.
struct SoakColdLimit {
  double per_second = 0;
  double overage = 1;
  double slack = 0;
};

// Checks from the calls that arrive at backend servers that evacuated zones get
// none and that cold servers do not get too many. The faults that excuse
// entries are reported with the time at which they end.
class ArrivalChecker {
 public:
  using Time = std::chrono::steady_clock::time_point;

  explicit ArrivalChecker(const SoakColdLimit& limit) : limit_(limit) {}

  // The start of an evacuation of the zone was acknowledged.
  void OnEvacuationStarted(const std::string& zone, Time now);
  // The order to end the evacuation is sent.
  void OnEvacuationEnds(const std::string& zone);
  // Returns when the evacuation of the zone is in force, so that calls to it
  // are findings; Time::max() if it has not started.
  Time InForceAt(const std::string& zone) const;
  // A control process or entry is killed, paused, stopped or cut off until the
  // given time.
  void OnProcessFault(Time ends_at);
  // A control process acknowledged the heartbeat of a server that is cold until
  // the given time.
  void OnColdReported(const std::string& server, Time cold_until, Time now);
  // Calls to the server are held back until the given time, and then arrive at
  // once.
  void OnCallsHeldBack(const std::string& server, Time ends_at);
  // A call arrived that the server did not refuse with 421.
  void OnArrival(const std::string& server, const std::string& zone,
                 const std::string& call, Time now);

  // The highest number of calls in a second that a cold server got.
  std::size_t max_cold_request_rate() const { return max_cold_request_rate_; }
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  struct ColdServer {
    // The arrivals in this period are checked.
    Time from;
    Time until;
    // The arrivals of the last second, after `from`.
    std::deque<Time> arrivals;
  };

  // Describes when calls to the server were last held back, for findings.
  std::string SinceHeldBack(const std::string& server, Time now) const;
  void CheckCold(const std::string& server, const std::string& call, Time now);

  SoakColdLimit limit_;
  std::map<std::string, Time> evacuated_since_;
  Time process_faults_end_at_;
  std::map<std::string, ColdServer> cold_;
  std::map<std::string, Time> held_back_until_;
  std::size_t max_cold_request_rate_ = 0;
  std::vector<std::string> findings_;
};

}  // namespace coltsfootfork
