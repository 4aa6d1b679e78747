#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

struct ClaimLimits {
  // A workspace may own at most as many claims as the table has free slots,
  // so a single workspace can fill only half of the table.
  std::size_t max_claims = 65536;
  // Size limits of one stored response and of all stored responses. A response
  // beyond a limit is not stored, and a retry of its request receives
  // kOutcomeUnknown.
  std::size_t max_response_bytes = std::size_t{16} << 10U;
  std::size_t max_total_response_bytes = std::size_t{16} << 20U;
  // The outcome of a claim that stays unsettled for this long is unknown.
  std::chrono::milliseconds in_progress_timeout{900000};
};

// Ensures that at most one request runs per idempotency key. Part of the
// replicated state, so all times are taken from the log.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  ClaimBeginReply Begin(const ClaimBegin& begin, std::chrono::milliseconds now);
  ClaimSettleReply Settle(const ClaimSettle& settle,
                          std::chrono::milliseconds now);

  // Removes claims whose last change is at least `retention` ago.
  void Expire(std::chrono::milliseconds retention,
              std::chrono::milliseconds now);

  std::size_t size() const { return claims_.size(); }

  std::string Snapshot() const;
  // Returns false and leaves the table unchanged if the bytes are corrupt.
  bool Restore(std::string_view bytes);

 private:
  enum class State : std::uint8_t {
    kInProgress = 0,
    kDone,
    kUnknown,
    // The request did not run, so another request may claim the key.
    kNotRun,
  };

  struct Claim {
    std::string request_digest;
    RequestId holder;
    State state = State::kInProgress;
    std::chrono::milliseconds changed_at{0};
    bool has_response = false;
    StoredResponse response;
  };

  struct Usage {
    std::size_t claims = 0;
    std::size_t response_bytes = 0;
  };

  using Claims = std::map<ClaimKey, Claim>;
  friend State LastValue(State) { return State::kNotRun; }
  template <typename A>
  friend void Fields(A& archive, Claim& claim);

  ClaimBeginReply BeginNew(const ClaimBegin& begin,
                           std::chrono::milliseconds now);
  ClaimBeginReply BeginExisting(const ClaimBegin& begin, Claims::iterator found,
                                std::chrono::milliseconds now);
  void UpdateChangedAt(Claims::iterator claim, std::chrono::milliseconds now);
  void StoreResponse(Claims::iterator claim, const StoredResponse& response);
  void Insert(const ClaimKey& key, Claim claim);
  void Erase(Claims::iterator claim);

  ClaimLimits limits_;
  Claims claims_;
  // Claims ordered by the time of their last change.
  std::set<std::pair<std::chrono::milliseconds, ClaimKey>> by_changed_at_;
  std::map<WorkspaceId, Usage> usage_;
  Usage total_;
};

}  // namespace coltsfootfork
