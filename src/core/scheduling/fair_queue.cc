#include "core/scheduling/fair_queue.h"

#include <algorithm>

namespace coltsfootfork {

FairFlow& FairQueue::FlowFor(const WorkspaceId& flow_key) {
  std::unique_ptr<FairFlow>& flow = flows_[flow_key];
  if (flow == nullptr) {
    flow = std::make_unique<FairFlow>();
    flow->workspace = flow_key;
    flow->serial = next_serial_++;
  }
  return *flow;
}

void FairQueue::RemoveFromIndexes(FairFlow& flow) {
  if (flow.requests.empty()) return;
  by_service_.erase({{flow.virtual_tokens, flow.serial}, &flow});
  by_length_.erase({{flow.requests.size(), flow.serial}, &flow});
  active_weight_ -= flow.weight;
}

void FairQueue::AddToIndexes(FairFlow& flow) {
  if (flow.requests.empty()) return;
  by_service_.insert({{flow.virtual_tokens, flow.serial}, &flow});
  by_length_.insert({{flow.requests.size(), flow.serial}, &flow});
  active_weight_ += flow.weight;
}

QueuePosition FairQueue::Push(const WorkspaceId& flow_key,
                              QueuedRequest request, double weight,
                              bool at_front) {
  FairFlow& flow = FlowFor(flow_key);
  RemoveFromIndexes(flow);
  flow.weight = weight;
  if (flow.requests.empty()) {
    flow.virtual_tokens = std::max(flow.virtual_tokens, virtual_time_);
    flow.waiting_tokens = 0;
  }
  flow.waiting_tokens += request.expected_tokens;
  waiting_tokens_ += request.expected_tokens;
  ++size_;
  const auto where = at_front ? flow.requests.begin() : flow.requests.end();
  const auto position = flow.requests.insert(where, std::move(request));
  AddToIndexes(flow);
  return {&flow, position};
}

const QueuedRequest& FairQueue::Head() const {
  return by_service_.begin()->second->requests.front();
}

QueuePosition FairQueue::HeadPosition() const {
  FairFlow* flow = by_service_.begin()->second;
  return {flow, flow->requests.begin()};
}

QueuedRequest FairQueue::Remove(QueuePosition position) {
  FairFlow& flow = *position.flow;
  RemoveFromIndexes(flow);
  QueuedRequest request = std::move(*position.request);
  flow.requests.erase(position.request);
  flow.waiting_tokens -= request.expected_tokens;
  waiting_tokens_ -= request.expected_tokens;
  --size_;
  AddToIndexes(flow);
  if (by_service_.empty()) {
    // Discards accumulated rounding errors.
    waiting_tokens_ = 0;
    active_weight_ = 0;
  }
  return request;
}

QueuedRequest FairQueue::PopHead(double tokens) {
  const QueuePosition position = HeadPosition();
  FairFlow& flow = *position.flow;
  virtual_time_ = std::max(virtual_time_, flow.virtual_tokens);
  QueuedRequest request = Remove(position);
  RemoveFromIndexes(flow);
  flow.virtual_tokens += tokens / flow.weight;
  AddToIndexes(flow);
  return request;
}

void FairQueue::Charge(const WorkspaceId& flow_key, double tokens) {
  FairFlow& flow = FlowFor(flow_key);
  RemoveFromIndexes(flow);
  flow.virtual_tokens += tokens / flow.weight;
  AddToIndexes(flow);
}

FairFlow& FairQueue::LongestFlow() const {
  return *by_length_.rbegin()->second;
}

std::size_t FairQueue::FlowSize(const WorkspaceId& flow_key) const {
  const auto it = flows_.find(flow_key);
  return it == flows_.end() ? 0 : it->second->requests.size();
}

double FairQueue::TokensAhead(const WorkspaceId& flow_key,
                              double weight) const {
  const auto it = flows_.find(flow_key);
  if (it == flows_.end()) return 0;
  const FairFlow& flow = *it->second;
  const bool is_queued = !flow.requests.empty();
  const double weights = active_weight_ + (is_queued ? 0 : weight);
  const double virtual_lead =
      std::max(0.0, flow.virtual_tokens - virtual_time_);
  const double own_tokens = is_queued ? flow.waiting_tokens : 0;
  return std::min(waiting_tokens_,
                  (virtual_lead + own_tokens / weight) * weights);
}

}  // namespace coltsfootfork
