#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootfork {

// What kind of call it is; streams and sales may run once at most.
enum class SoakKind : std::uint8_t { kStream = 0, kSale, kRead };

// What a caller saw of an answer.
struct ObservedResponse {
  // Nothing where no whole head came.
  std::optional<int> status;
  // The answer came to its proper end.
  bool complete = false;
  std::string call;
  std::string signature;
  std::string body;
};

// Keeps what callers, backend servers and the operator saw, and finds what must
// never be.
class InvariantChecker {
 public:
  // `events` is how many a whole stream has.
  explicit InvariantChecker(int events) : events_(events) {}

  void OnResponse(const std::string& call, SoakKind kind,
                  const ObservedResponse& observed);
  // A change was acknowledged.
  void OnPlanAcknowledged(std::uint64_t version);
  // A read that was sent when `accepted_before` was acknowledged came back.
  void OnPlanRead(std::uint64_t accepted_before, std::uint64_t version);
  // How often each call has run, at one backend server.
  void OnRuns(const std::map<std::string, int>& runs);
  // Compares what was refused with what has run.
  void CheckRefusals();

  std::uint64_t accepted() const { return accepted_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t responses() const { return responses_; }
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  void CheckSuccess(const std::string& call, SoakKind kind,
                    const ObservedResponse& observed);
  void CheckStream(const std::string& call, const ObservedResponse& observed);
  void AddFinding(const std::string& call, const std::string& what);

  int events_;
  std::uint64_t accepted_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t responses_ = 0;
  std::map<std::string, SoakKind> kinds_;
  std::map<std::string, int> refused_;
  std::map<std::string, int> runs_;
  std::vector<std::string> findings_;
};

}  // namespace coltsfootfork
