#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coltsfootfork/core/scheduling/agent_options.h"
#include "core/scheduling/fair_queue.h"
#include "core/scheduling/floor_ledger.h"
#include "core/scheduling/queued_request.h"

namespace coltsfootfork {

// Whose head goes next, and whether that is owed by the floor.
struct Turn {
  Rank rank = Rank::kUrgent;
  bool is_floor = false;
};

// What became of a request that was to wait.
struct Enqueued {
  bool accepted = false;
  // A newer request of the longest line that had to make room.
  std::optional<QueuedRequest> displaced;
};

// The line before one backend server: urgent work first, a floor for
// deferrable work, and weighted fairness in each rank. Bounded in all.
class RequestQueue {
 public:
  RequestQueue(OrderPolicy order, QueueBounds bounds)
      : order_(order), bounds_(bounds) {}

  void SetFloor(double floor) { floor_.SetFloor(floor); }
  double floor() const { return floor_.floor(); }

  // Adds a request, when the bounds allow it. Where the rank is full, the
  // newest request of the workspace with the most of them makes room, unless
  // the new one comes from there.
  Enqueued Push(QueuedRequest request, double weight, bool at_front);

  bool empty() const { return places_.empty(); }
  std::size_t size() const { return places_.size(); }
  std::size_t size(Rank rank) const { return Lanes(rank).size(); }
  // The waiting request, or nothing.
  const QueuedRequest* Find(const RequestId& request) const;
  double waiting_tokens(Rank rank) const {
    return Lanes(rank).waiting_tokens();
  }

  // The rank whose head goes next. Only when not empty.
  Turn Next(const BatchShare& batch) const;
  const QueuedRequest& Head(Rank rank) const { return Lanes(rank).Head(); }

  // Takes out the head of a rank and charges its workspace with the tokens.
  QueuedRequest PopHead(Rank rank, double tokens);

  // Corrects a charge by the tokens really made.
  void Correct(Rank rank, const WorkspaceId& workspace, double tokens);

  // Counts tokens that the server has made.
  void CountMade(Rank rank, double tokens);

  std::optional<QueuedRequest> Remove(const RequestId& request);
  std::vector<QueuedRequest> RemoveOfEntry(const ProcessId& entry);
  std::vector<QueuedRequest> RemoveAll();
  // Takes out what can no longer start in time.
  std::vector<QueuedRequest> RemoveOverdue(Time now);
  std::optional<Time> EarliestDeadline() const;

  // Output tokens before a new request's turn within its rank.
  double TokensAhead(Rank rank, const WorkspaceId& workspace,
                     double weight) const;

 private:
  struct Place {
    std::size_t lanes = 0;
    QueuePlace place;
    std::uint64_t serial = 0;
  };

  std::size_t LanesIndex(Rank rank) const;
  FairQueue& Lanes(Rank rank) { return lanes_.at(LanesIndex(rank)); }
  const FairQueue& Lanes(Rank rank) const {
    return lanes_.at(LanesIndex(rank));
  }
  bool BothWait() const;
  double NextDeferrableTokens() const;
  WorkspaceId LaneName(const WorkspaceId& workspace) const;
  void EndContentionIfOver();
  std::optional<QueuedRequest> MakeRoom(FairQueue& lanes,
                                        const WorkspaceId& lane_name);

  OrderPolicy order_;
  QueueBounds bounds_;
  FloorLedger floor_;
  std::array<FairQueue, kRankCount> lanes_;
  std::unordered_map<RequestId, Place> places_;
  std::map<std::pair<Time, std::uint64_t>, RequestId> deadlines_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace coltsfootfork
