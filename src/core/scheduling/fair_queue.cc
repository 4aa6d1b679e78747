#include "core/scheduling/fair_queue.h"

#include <algorithm>

namespace coltsfootfork {

FairLane& FairQueue::Lane(const WorkspaceId& lane_name) {
  std::unique_ptr<FairLane>& lane = lanes_[lane_name];
  if (lane == nullptr) {
    lane = std::make_unique<FairLane>();
    lane->workspace = lane_name;
    lane->serial = next_serial_++;
  }
  return *lane;
}

void FairQueue::Unlink(FairLane& lane) {
  if (lane.requests.empty()) return;
  by_service_.erase({{lane.virtual_tokens, lane.serial}, &lane});
  by_length_.erase({{lane.requests.size(), lane.serial}, &lane});
  active_weight_ -= lane.weight;
}

void FairQueue::Link(FairLane& lane) {
  if (lane.requests.empty()) return;
  by_service_.insert({{lane.virtual_tokens, lane.serial}, &lane});
  by_length_.insert({{lane.requests.size(), lane.serial}, &lane});
  active_weight_ += lane.weight;
}

QueuePlace FairQueue::Push(const WorkspaceId& lane_name, QueuedRequest request,
                           double weight, bool at_front) {
  FairLane& lane = Lane(lane_name);
  Unlink(lane);
  lane.weight = weight;
  if (lane.requests.empty()) {
    lane.virtual_tokens = std::max(lane.virtual_tokens, level_);
    lane.waiting_tokens = 0;
  }
  lane.waiting_tokens += request.expected_tokens;
  waiting_tokens_ += request.expected_tokens;
  ++size_;
  const auto where = at_front ? lane.requests.begin() : lane.requests.end();
  const auto place = lane.requests.insert(where, std::move(request));
  Link(lane);
  return {&lane, place};
}

const QueuedRequest& FairQueue::Head() const {
  return by_service_.begin()->second->requests.front();
}

QueuePlace FairQueue::HeadPlace() const {
  FairLane* lane = by_service_.begin()->second;
  return {lane, lane->requests.begin()};
}

QueuedRequest FairQueue::Remove(QueuePlace place) {
  FairLane& lane = *place.lane;
  Unlink(lane);
  QueuedRequest request = std::move(*place.request);
  lane.requests.erase(place.request);
  lane.waiting_tokens -= request.expected_tokens;
  waiting_tokens_ -= request.expected_tokens;
  --size_;
  Link(lane);
  if (by_service_.empty()) {
    // Leaves no rounding errors behind.
    waiting_tokens_ = 0;
    active_weight_ = 0;
  }
  return request;
}

QueuedRequest FairQueue::PopHead(double tokens) {
  const QueuePlace place = HeadPlace();
  FairLane& lane = *place.lane;
  level_ = std::max(level_, lane.virtual_tokens);
  QueuedRequest request = Remove(place);
  Unlink(lane);
  lane.virtual_tokens += tokens / lane.weight;
  Link(lane);
  return request;
}

void FairQueue::Charge(const WorkspaceId& lane_name, double tokens) {
  FairLane& lane = Lane(lane_name);
  Unlink(lane);
  lane.virtual_tokens += tokens / lane.weight;
  Link(lane);
}

FairLane& FairQueue::LongestLane() const {
  return *by_length_.rbegin()->second;
}

std::size_t FairQueue::LaneSize(const WorkspaceId& lane_name) const {
  const auto it = lanes_.find(lane_name);
  return it == lanes_.end() ? 0 : it->second->requests.size();
}

double FairQueue::TokensAhead(const WorkspaceId& lane_name,
                              double weight) const {
  const auto it = lanes_.find(lane_name);
  if (it == lanes_.end()) return 0;
  const FairLane& lane = *it->second;
  const bool waits = !lane.requests.empty();
  const double weights = active_weight_ + (waits ? 0 : weight);
  const double lead = std::max(0.0, lane.virtual_tokens - level_);
  const double own = waits ? lane.waiting_tokens : 0;
  return std::min(waiting_tokens_, (lead + own / weight) * weights);
}

}  // namespace coltsfootfork
