#include "core/scheduling/request_queue.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// Maps a rank to its queue.
struct QueueIndexForRank {
  Rank rank;

  std::size_t operator()(const FirstComeFirstServed&) const { return 0; }
  std::size_t operator()(const RankedFair&) const { return RankIndex(rank); }
};

// Maps a workspace to its flow.
struct FlowKeyForWorkspace {
  const WorkspaceId& workspace;

  WorkspaceId operator()(const FirstComeFirstServed&) const { return {}; }
  WorkspaceId operator()(const RankedFair&) const { return workspace; }
};

}  // namespace

std::size_t RequestQueue::QueueIndex(Rank rank) const {
  return std::visit(QueueIndexForRank{rank}, order_);
}

WorkspaceId RequestQueue::FlowKey(const WorkspaceId& workspace) const {
  return std::visit(FlowKeyForWorkspace{workspace}, order_);
}

const QueuedRequest* RequestQueue::Find(const RequestId& request) const {
  const auto found = locations_.find(request);
  return found == locations_.end() ? nullptr : &*found->second.position.request;
}

std::optional<QueuedRequest> RequestQueue::DisplaceNewest(
    FairQueue& queue, const WorkspaceId& flow_key) {
  const FairFlow& longest = queue.LongestFlow();
  if (longest.requests.size() <= queue.FlowSize(flow_key)) {
    return std::nullopt;
  }
  return Remove(longest.requests.back().dispatch.request);
}

Enqueued RequestQueue::Push(QueuedRequest request, double weight,
                            bool at_front) {
  const std::size_t queue_index = QueueIndex(request.dispatch.rank);
  FairQueue& queue = queues_.at(queue_index);
  const WorkspaceId flow_key = FlowKey(request.dispatch.workspace);
  Enqueued result;
  if (!flow_key.empty() && queue.FlowSize(flow_key) >= bounds_.per_workspace) {
    return result;
  }
  if (queue.size() >= bounds_.per_rank) {
    result.displaced = DisplaceNewest(queue, flow_key);
    if (!result.displaced) return result;
  }
  const RequestId id = request.dispatch.request;
  const Time start_by = request.start_by;
  const std::uint64_t serial = next_serial_++;
  const QueuePosition position =
      queue.Push(flow_key, std::move(request), weight, at_front);
  locations_[id] = {queue_index, position, serial};
  deadlines_[{start_by, serial}] = id;
  result.accepted = true;
  return result;
}

bool RequestQueue::BothRanksQueued() const {
  return !queues_[RankIndex(Rank::kUrgent)].empty() &&
         !queues_[RankIndex(Rank::kDeferrable)].empty();
}

double RequestQueue::NextDeferrableTokens() const {
  return QueueFor(Rank::kDeferrable).Head().expected_tokens;
}

Selection RequestQueue::SelectNext(const BatchShare& batch) const {
  const FairQueue& urgent_queue = queues_[RankIndex(Rank::kUrgent)];
  if (urgent_queue.empty()) return {Rank::kDeferrable, false};
  if (BothRanksQueued() &&
      floor_.IsDeferrableDue(batch, NextDeferrableTokens())) {
    return {Rank::kDeferrable, true};
  }
  return {urgent_queue.Head().dispatch.rank, false};
}

void RequestQueue::ResetFloorIfUncontended() {
  if (!BothRanksQueued()) floor_.Reset();
}

QueuedRequest RequestQueue::PopHead(Rank rank, double tokens) {
  FairQueue& queue = QueueFor(rank);
  const auto found = locations_.find(queue.Head().dispatch.request);
  deadlines_.erase({queue.Head().start_by, found->second.serial});
  locations_.erase(found);
  QueuedRequest request = queue.PopHead(tokens);
  ResetFloorIfUncontended();
  return request;
}

void RequestQueue::AdjustCharge(Rank rank, const WorkspaceId& workspace,
                                double tokens) {
  QueueFor(rank).Charge(FlowKey(workspace), tokens);
}

void RequestQueue::CountOutputTokens(Rank rank, double tokens) {
  if (BothRanksQueued()) {
    floor_.CountOutputTokens(rank, tokens, NextDeferrableTokens());
  }
}

std::optional<QueuedRequest> RequestQueue::Remove(const RequestId& request) {
  const auto found = locations_.find(request);
  if (found == locations_.end()) return std::nullopt;
  const Location location = found->second;
  locations_.erase(found);
  deadlines_.erase({location.position.request->start_by, location.serial});
  QueuedRequest removed =
      queues_.at(location.queue_index).Remove(location.position);
  ResetFloorIfUncontended();
  return removed;
}

std::vector<QueuedRequest> RequestQueue::RemoveByEntry(const ProcessId& entry) {
  std::vector<RequestId> of_entry;
  for (const auto& [deadline, id] : deadlines_) {
    if (locations_.at(id).position.request->entry == entry) {
      of_entry.push_back(id);
    }
  }
  std::vector<QueuedRequest> removed;
  removed.reserve(of_entry.size());
  for (const RequestId& id : of_entry) removed.push_back(*Remove(id));
  return removed;
}

std::vector<QueuedRequest> RequestQueue::RemoveAll() {
  std::vector<QueuedRequest> removed;
  while (!deadlines_.empty()) {
    const RequestId id = deadlines_.begin()->second;
    removed.push_back(*Remove(id));
  }
  return removed;
}

std::vector<QueuedRequest> RequestQueue::RemoveExpired(Time now) {
  std::vector<QueuedRequest> removed;
  while (!deadlines_.empty() && deadlines_.begin()->first.first <= now) {
    const RequestId id = deadlines_.begin()->second;
    removed.push_back(*Remove(id));
  }
  return removed;
}

std::optional<Time> RequestQueue::EarliestDeadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->first.first;
}

double RequestQueue::TokensAhead(Rank rank, const WorkspaceId& workspace,
                                 double weight) const {
  return QueueFor(rank).TokensAhead(FlowKey(workspace), weight);
}

}  // namespace coltsfootfork
