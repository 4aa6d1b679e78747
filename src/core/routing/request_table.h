#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/stream/stream_sequencer.h"
#include "coltsfootfork/core/stream/stream_state_machine.h"
#include "coltsfootfork/core/types/time.h"
#include "core/routing/prefix_hints.h"

namespace coltsfootfork {

// How far a request's claim of its idempotency key has got.
enum class ClaimStage : std::uint8_t { kNone = 0, kAsked, kHeld };

// What a request's caller has not yet taken.
struct CallerState {
  // Nobody takes the answer any more; the request goes on for its claim.
  bool gone = false;
  std::uint64_t backlog_bytes = 0;
  // When the caller has taken nothing for too long.
  Time stalls_at = Time::max();
};

// The text delivered so far, kept where a claim will store it.
struct KeptText {
  std::string text;
  // The text was too long to keep and is gone.
  bool overflowed = false;
};

// One open request.
struct RequestRow {
  CallerRequest call;
  Rank rank = Rank::kDeferrable;
  RankTarget target;
  // Handed over again only on proof that it has not run.
  bool at_most_once = false;
  ClaimStage claim = ClaimStage::kNone;
  StreamStateMachine life;
  StreamSequencer sequencer;
  CallerState caller;
  Time arrived;
  // The server of the live generation.
  std::optional<ServerIndex> server;
  // Servers that have failed the request.
  std::vector<ServerIndex> avoid;
  std::uint32_t dispatches = 0;
  Time last_token;
  // Resumes asked since the last delivered token.
  std::uint32_t resumes = 0;
  // Hand-overs without proof that they did not run.
  std::uint32_t unproved_dispatches = 0;
  KeptText kept;
  // Whether the table has the row in its list of waiting requests.
  bool waits = false;
  // When the present state lasts too long.
  Time deadline = Time::max();
  // The deadline or the caller's, whichever is first.
  Time DueAt() const { return std::min(deadline, caller.stalls_at); }
  // Where the table holds the row; never later than the deadline.
  Time indexed_at = Time::max();
};

// A request and when it must be looked at.
struct DueRequest {
  Time at;
  RequestId request;

  friend bool operator<(const DueRequest& a, const DueRequest& b) {
    return a.at != b.at ? a.at < b.at : a.request < b.request;
  }
};

// The open requests, found by name, by deadline and, while they wait for a
// server, in order of arrival.
class RequestTable {
 public:
  // The new row, or null where the name is taken.
  RequestRow* Add(CallerRequest call, Time now);
  RequestRow* Find(const RequestId& request);
  void Remove(const RequestId& request);
  std::size_t size() const { return rows_.size(); }

  // Moves the deadline of the row's state. A later one is only indexed when the
  // old one is due, which keeps the cost off the path of each token.
  void SetDeadline(RequestRow* row, Time deadline);
  // Moves when the row's caller counts as stalled.
  void SetCallerStall(RequestRow* row, Time stalls_at);
  std::optional<Time> NextDue() const;
  // The next row that is due, or null. Its deadline must then be moved or the
  // row be closed.
  RequestRow* TakeDue(Time now);

  // The names of the rows whose live generation is on the server, in order.
  std::vector<RequestId> OnServer(ServerIndex server) const;

  void StartWaiting(RequestRow* row);
  // The waiting requests, the most urgent first and then first come first;
  // the list starts anew.
  std::vector<RequestId> TakeWaiting();
  std::size_t Waiting(Rank rank) const {
    return waiting_.at(RankIndex(rank)).size();
  }

 private:
  void Index(RequestRow* row);

  std::map<RequestId, RequestRow> rows_;
  std::set<DueRequest> due_;
  // For each rank, first come first.
  std::array<std::vector<RequestId>, kRankCount> waiting_;
};

}  // namespace coltsfootfork
