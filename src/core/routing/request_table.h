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

// State of a request's claim of its idempotency key.
enum class ClaimStage : std::uint8_t { kNone = 0, kRequested, kHeld };

// The caller's connection and its unread response data.
struct CallerState {
  // The caller has disconnected; the request continues to settle its claim.
  bool disconnected = false;
  std::uint64_t backlog_bytes = 0;
  // The time at which a caller without read progress counts as stalled.
  Time stall_deadline = Time::max();
};

// The text delivered so far, accumulated if a claim will store it.
struct ResponseText {
  std::string text;
  // The text exceeded the storage limit and was discarded.
  bool overflowed = false;
};

// One open request.
struct RequestRow {
  CallerRequest call;
  Rank rank = Rank::kDeferrable;
  RankTarget target;
  // Retry only when it is proven that the request has not run.
  bool at_most_once = false;
  ClaimStage claim = ClaimStage::kNone;
  StreamStateMachine lifecycle;
  StreamSequencer sequencer;
  CallerState caller;
  Time arrived_at;
  // The server of the live generation.
  std::optional<ServerIndex> server;
  // Servers that have failed the request.
  std::vector<ServerIndex> avoid;
  std::uint32_t dispatches = 0;
  Time last_token_at;
  // Resumes requested since the last delivered token.
  std::uint32_t resumes = 0;
  // Dispatches that are not proven not to have run.
  std::uint32_t possible_runs = 0;
  ResponseText response_text;
  // True while the table has the row in a queue of its rank.
  bool is_queued = false;
  // Deadline of the current state.
  Time deadline = Time::max();
  // The earlier of the state's deadline and the caller's stall deadline.
  Time DueAt() const { return std::min(deadline, caller.stall_deadline); }
  // The time under which the table indexes the row; never later than DueAt().
  Time indexed_at = Time::max();
};

// Index entry of a request, ordered by time.
struct DueRequest {
  Time at;
  RequestId request;

  friend bool operator<(const DueRequest& a, const DueRequest& b) {
    return a.at != b.at ? a.at < b.at : a.request < b.request;
  }
};

// The open requests, indexed by ID and by deadline, and queued in order of
// arrival while no server is eligible.
class RequestTable {
 public:
  // Returns the new row, or null if the ID is in use.
  RequestRow* Add(CallerRequest call, Time now);
  RequestRow* Find(const RequestId& request);
  void Remove(const RequestId& request);
  std::size_t size() const { return rows_.size(); }

  // Sets the deadline of the row's state. A later deadline is only indexed when
  // the old one expires, so that a token does not update the index.
  void SetDeadline(RequestRow* row, Time deadline);
  // Sets the time at which the row's caller counts as stalled.
  void SetCallerStallDeadline(RequestRow* row, Time stall_deadline);
  std::optional<Time> NextDue() const;
  // Returns the next row whose deadline has expired, or null. The caller must
  // set a new deadline or remove the row.
  RequestRow* PopDue(Time now);

  // The sorted IDs of the requests whose live generation is on the server.
  std::vector<RequestId> OnServer(ServerIndex server) const;

  void Enqueue(RequestRow* row);
  // Removes all requests from the queues and returns them, by rank with the
  // most urgent first, then in order of arrival.
  std::vector<RequestId> TakeQueued();
  std::size_t QueuedCount(Rank rank) const {
    return queued_.at(RankIndex(rank)).size();
  }

 private:
  void Index(RequestRow* row);

  std::map<RequestId, RequestRow> rows_;
  std::set<DueRequest> due_;
  // One queue per rank, in order of arrival.
  std::array<std::vector<RequestId>, kRankCount> queued_;
};

}  // namespace coltsfootfork
