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
#include "core/scheduling/floor_deficit.h"
#include "core/scheduling/queued_request.h"

namespace coltsfootfork {

// Whose head goes next, and whether that is owed by the floor.
struct Selection {
  Rank rank = Rank::kUrgent;
  bool floor_due = false;
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

  bool empty() const { return locations_.empty(); }
  std::size_t size() const { return locations_.size(); }
  std::size_t size(Rank rank) const { return QueueFor(rank).size(); }
  // The waiting request, or nothing.
  const QueuedRequest* Find(const RequestId& request) const;
  double waiting_tokens(Rank rank) const {
    return QueueFor(rank).waiting_tokens();
  }

  // The rank whose head goes next. Only when not empty.
  Selection SelectNext(const BatchShare& batch) const;
  const QueuedRequest& Head(Rank rank) const { return QueueFor(rank).Head(); }

  // Takes out the head of a rank and charges its workspace with the tokens.
  QueuedRequest PopHead(Rank rank, double tokens);

  // Corrects a charge by the tokens really made.
  void AdjustCharge(Rank rank, const WorkspaceId& workspace, double tokens);

  // Counts tokens that the server has made.
  void CountOutputTokens(Rank rank, double tokens);

  std::optional<QueuedRequest> Remove(const RequestId& request);
  std::vector<QueuedRequest> RemoveByEntry(const ProcessId& entry);
  std::vector<QueuedRequest> RemoveAll();
  // Takes out what can no longer start in time.
  std::vector<QueuedRequest> RemoveExpired(Time now);
  std::optional<Time> EarliestDeadline() const;

  // Output tokens before a new request's turn within its rank.
  double TokensAhead(Rank rank, const WorkspaceId& workspace,
                     double weight) const;

 private:
  struct Location {
    std::size_t queue_index = 0;
    QueuePosition position;
    std::uint64_t serial = 0;
  };

  std::size_t QueueIndex(Rank rank) const;
  FairQueue& QueueFor(Rank rank) { return queues_.at(QueueIndex(rank)); }
  const FairQueue& QueueFor(Rank rank) const {
    return queues_.at(QueueIndex(rank));
  }
  bool BothRanksQueued() const;
  double NextDeferrableTokens() const;
  WorkspaceId FlowKey(const WorkspaceId& workspace) const;
  void ResetFloorIfUncontended();
  std::optional<QueuedRequest> DisplaceNewest(FairQueue& queue,
                                              const WorkspaceId& flow_key);

  OrderPolicy order_;
  QueueBounds bounds_;
  FloorDeficit floor_;
  std::array<FairQueue, kRankCount> queues_;
  std::unordered_map<RequestId, Location> locations_;
  std::map<std::pair<Time, std::uint64_t>, RequestId> deadlines_;
  std::uint64_t next_serial_ = 0;
};

}  // namespace coltsfootfork
