#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfootfork {

// The kind of a call. Streams that may not be resumed, and sales, may run at
// most once.
enum class SoakKind : std::uint8_t {
  kStream = 0,
  kResumableStream,
  kSale,
  kRead,
};

inline constexpr bool IsStream(SoakKind kind) {
  return kind == SoakKind::kStream || kind == SoakKind::kResumableStream;
}

// The part of a response that a caller received.
struct ObservedResponse {
  // Unset if the response header was not received completely.
  std::optional<int> status;
  // The response was received up to its regular end.
  bool complete = false;
  // The caller's timeout was reached.
  bool timed_out = false;
  // The entry was signalled to stop before the request was sent to it.
  bool sent_to_stopping = false;
  std::string call;
  std::string signature;
  std::string body;
};

// Records the observations of callers, backend servers and the operator, and
// reports violated invariants as findings.
class InvariantChecker {
 public:
  // `events` is the number of events of a complete stream. `planned` is true if
  // only planned work is injected, which must not cut off a call that a backend
  // server runs.
  InvariantChecker(int events, bool planned)
      : events_(events), planned_(planned) {}

  void OnResponse(const std::string& call, SoakKind kind,
                  const ObservedResponse& observed);
  // Called when a plan change is acknowledged.
  void OnPlanAcknowledged(std::uint64_t version);
  // Called when a read returns `version`. `accepted_before` is the newest
  // version that was acknowledged before the read was sent.
  void OnPlanRead(std::uint64_t accepted_before, std::uint64_t version);
  // Adds the number of runs of each call at one backend server.
  void OnRuns(const std::map<std::string, int>& runs);
  // Checks that no refused call has run, that calls ran at most once where
  // required, and that planned work has cut off no call.
  void CheckRuns();
  void AddFinding(const std::string& call, const std::string& what);

  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t responses() const { return responses_; }
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  void CheckSuccess(const std::string& call, SoakKind kind,
                    const ObservedResponse& observed);
  void CheckStream(const std::string& call, const ObservedResponse& observed);

  int events_;
  bool planned_;
  std::uint64_t accepted_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t responses_ = 0;
  std::map<std::string, SoakKind> kinds_;
  std::map<std::string, int> refused_;
  // Calls that ended without a complete response, and that planned work does
  // not excuse.
  std::set<std::string> cut_off_;
  std::map<std::string, int> runs_;
  std::vector<std::string> findings_;
};

}  // namespace coltsfootfork
