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
  // Claims kept at once. A workspace may hold as many as are still free for
  // all others, so one workspace alone fills half of the table.
  std::size_t max_claims = 65536;
  // Bytes of one stored answer, and of all. A larger one is not kept, and a
  // resend is told that the outcome is unknown.
  std::size_t max_response_bytes = std::size_t{16} << 10U;
  std::size_t max_total_response_bytes = std::size_t{16} << 20U;
  // A claim that nobody settled for this long counts as of unknown outcome.
  std::chrono::milliseconds in_progress_timeout{900000};
};

// The idempotency keys that requests have claimed. Part of the replicated
// state: all times are those of the log.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits = {}) : limits_(limits) {}

  ClaimBeginReply Begin(const ClaimBegin& begin, std::chrono::milliseconds now);
  ClaimSettleReply Settle(const ClaimSettle& settle,
                          std::chrono::milliseconds now);

  // Forgets claims that last changed before the retention.
  void Expire(std::chrono::milliseconds retention,
              std::chrono::milliseconds now);

  std::size_t size() const { return claims_.size(); }

  std::string Snapshot() const;
  // False, and nothing changed, where the bytes are damaged.
  bool Restore(std::string_view bytes);

 private:
  enum class State : std::uint8_t {
    kInProgress = 0,
    kDone,
    kUnknown,
    // It did not run: another request may claim the key.
    kNotRun,
  };

  struct Claim {
    std::string request_digest;
    RequestId holder;
    State state = State::kInProgress;
    std::chrono::milliseconds changed_at{0};
    bool has_response = false;
    StoredResponse answer;
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
  void StoreResponse(Claims::iterator claim, const StoredResponse& answer);
  void Insert(const ClaimKey& key, Claim claim);
  void Erase(Claims::iterator claim);

  ClaimLimits limits_;
  Claims claims_;
  // Claims by the time of their last change.
  std::set<std::pair<std::chrono::milliseconds, ClaimKey>> by_changed_at_;
  std::map<WorkspaceId, Usage> usage_;
  Usage total_;
};

}  // namespace coltsfootfork
