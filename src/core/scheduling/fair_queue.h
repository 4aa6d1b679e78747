#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/scheduling/queued_request.h"

namespace coltsfootfork {

// The queued requests of one workspace and the service it has received.
struct FairFlow {
  WorkspaceId workspace;
  // Breaks ties in the order of creation.
  std::uint64_t serial = 0;
  double weight = 1.0;
  // Tokens of service divided by the weight, comparable between flows.
  double virtual_tokens = 0;
  double waiting_tokens = 0;
  std::list<QueuedRequest> requests;
};

// Position of a queued request.
struct QueuePosition {
  FairFlow* flow = nullptr;
  std::list<QueuedRequest>::iterator request;
};

// Weighted fair queue among workspaces, measured in tokens. Serves the flow
// with the least service first. A flow that becomes active starts at the
// current virtual time, so that an idle workspace accumulates no credit. Each
// operation costs O(log workspaces).
class FairQueue {
 public:
  // Adds a request at the end or the front of its flow.
  QueuePosition Push(const WorkspaceId& flow_key, QueuedRequest request,
                     double weight, bool at_front);

  bool empty() const { return by_service_.empty(); }
  std::size_t size() const { return size_; }
  // Expected output tokens of all queued requests.
  double waiting_tokens() const { return waiting_tokens_; }

  // The next request. The queue must not be empty.
  const QueuedRequest& Head() const;
  QueuePosition HeadPosition() const;

  // Removes the request at the position.
  QueuedRequest Remove(QueuePosition position);

  // Removes the head and charges its flow.
  QueuedRequest PopHead(double tokens);

  // Charges tokens of service to a flow; a negative number is a refund.
  void Charge(const WorkspaceId& flow_key, double tokens);

  // The flow with the most queued requests. The queue must not be empty.
  FairFlow& LongestFlow() const;

  std::size_t FlowSize(const WorkspaceId& flow_key) const;

  // Expected output tokens served before a new request of the flow.
  double TokensAhead(const WorkspaceId& flow_key, double weight) const;

 private:
  using ServiceKey = std::pair<double, std::uint64_t>;
  using LengthKey = std::pair<std::size_t, std::uint64_t>;

  FairFlow& FlowFor(const WorkspaceId& flow_key);
  void RemoveFromIndexes(FairFlow& flow);
  void AddToIndexes(FairFlow& flow);

  std::unordered_map<WorkspaceId, std::unique_ptr<FairFlow>> flows_;
  // Indexes of the flows with queued requests.
  std::set<std::pair<ServiceKey, FairFlow*>> by_service_;
  std::set<std::pair<LengthKey, FairFlow*>> by_length_;
  std::uint64_t next_serial_ = 0;
  std::size_t size_ = 0;
  double waiting_tokens_ = 0;
  double active_weight_ = 0;
  // Virtual service of the flow served last; never decreases.
  double virtual_time_ = 0;
};

}  // namespace coltsfootfork
