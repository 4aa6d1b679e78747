#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/scheduling/queued_request.h"

namespace coltsfootfork {

// The waiting requests of one workspace, and the service that it has had.
struct FairFlow {
  WorkspaceId workspace;
  // Breaks ties in the order of creation.
  std::uint64_t serial = 0;
  double weight = 1.0;
  // Tokens of service by weight, on the same scale for all lanes.
  double virtual_tokens = 0;
  double waiting_tokens = 0;
  std::list<QueuedRequest> requests;
};

// Where a request waits.
struct QueuePosition {
  FairFlow* flow = nullptr;
  std::list<QueuedRequest>::iterator request;
};

// Weighted fair service in tokens among workspaces. The lane with the least
// service goes next; a lane that had nothing waiting starts at the level of
// the others, so that idle time saves up no credit. Each operation costs
// O(log workspaces).
class FairQueue {
 public:
  // Adds a request at the end of its lane, or at its front.
  QueuePosition Push(const WorkspaceId& flow_key, QueuedRequest request,
                     double weight, bool at_front);

  bool empty() const { return by_service_.empty(); }
  std::size_t size() const { return size_; }
  // Output tokens that all waiting requests are expected to make.
  double waiting_tokens() const { return waiting_tokens_; }

  // The request that goes next. Only when not empty.
  const QueuedRequest& Head() const;
  QueuePosition HeadPosition() const;

  // Takes a request out of its place.
  QueuedRequest Remove(QueuePosition position);

  // Takes the head out and charges its lane.
  QueuedRequest PopHead(double tokens);

  // Adds tokens of service to a lane, or takes back with a negative number.
  void Charge(const WorkspaceId& flow_key, double tokens);

  // The lane with the most waiting requests. Only when not empty.
  FairFlow& LongestFlow() const;

  std::size_t FlowSize(const WorkspaceId& flow_key) const;

  // Output tokens expected to be made before a new request of the lane gets
  // its turn.
  double TokensAhead(const WorkspaceId& flow_key, double weight) const;

 private:
  using ServiceKey = std::pair<double, std::uint64_t>;
  using LengthKey = std::pair<std::size_t, std::uint64_t>;

  FairFlow& FlowFor(const WorkspaceId& flow_key);
  void RemoveFromIndexes(FairFlow& flow);
  void AddToIndexes(FairFlow& flow);

  std::unordered_map<WorkspaceId, std::unique_ptr<FairFlow>> flows_;
  // Lanes with waiting requests.
  std::set<std::pair<ServiceKey, FairFlow*>> by_service_;
  std::set<std::pair<LengthKey, FairFlow*>> by_length_;
  std::uint64_t next_serial_ = 0;
  std::size_t size_ = 0;
  double waiting_tokens_ = 0;
  double active_weight_ = 0;
  // The service level of the lane that was last served.
  double virtual_time_ = 0;
};

}  // namespace coltsfootfork
