#include "core/scheduling/request_queue.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// Which line a rank waits in.
struct LineOfRank {
  Rank rank;

  std::size_t operator()(const FirstComeFirstServed&) const { return 0; }
  std::size_t operator()(const RankedFair&) const { return RankIndex(rank); }
};

// Which lane of a line a workspace waits in.
struct LaneOfWorkspace {
  const WorkspaceId& workspace;

  WorkspaceId operator()(const FirstComeFirstServed&) const { return {}; }
  WorkspaceId operator()(const RankedFair&) const { return workspace; }
};

}  // namespace

std::size_t RequestQueue::LanesIndex(Rank rank) const {
  return std::visit(LineOfRank{rank}, order_);
}

WorkspaceId RequestQueue::LaneName(const WorkspaceId& workspace) const {
  return std::visit(LaneOfWorkspace{workspace}, order_);
}

const QueuedRequest* RequestQueue::Find(const RequestId& request) const {
  const auto found = places_.find(request);
  return found == places_.end() ? nullptr : &*found->second.place.request;
}

std::optional<QueuedRequest> RequestQueue::MakeRoom(
    FairQueue& lanes, const WorkspaceId& lane_name) {
  const FairLane& longest = lanes.LongestLane();
  if (longest.requests.size() <= lanes.LaneSize(lane_name)) {
    return std::nullopt;
  }
  return Remove(longest.requests.back().dispatch.request);
}

Enqueued RequestQueue::Push(QueuedRequest request, double weight,
                            bool at_front) {
  const std::size_t line = LanesIndex(request.dispatch.rank);
  FairQueue& lanes = lanes_.at(line);
  const WorkspaceId lane_name = LaneName(request.dispatch.workspace);
  Enqueued result;
  if (!lane_name.empty() &&
      lanes.LaneSize(lane_name) >= bounds_.per_workspace) {
    return result;
  }
  if (lanes.size() >= bounds_.per_rank) {
    result.displaced = MakeRoom(lanes, lane_name);
    if (!result.displaced) return result;
  }
  const RequestId id = request.dispatch.request;
  const Time start_by = request.start_by;
  const std::uint64_t serial = next_serial_++;
  const QueuePlace place =
      lanes.Push(lane_name, std::move(request), weight, at_front);
  places_[id] = {line, place, serial};
  deadlines_[{start_by, serial}] = id;
  result.accepted = true;
  return result;
}

bool RequestQueue::BothWait() const {
  return !lanes_[RankIndex(Rank::kUrgent)].empty() &&
         !lanes_[RankIndex(Rank::kDeferrable)].empty();
}

double RequestQueue::NextDeferrableTokens() const {
  return Lanes(Rank::kDeferrable).Head().expected_tokens;
}

Turn RequestQueue::Next(const BatchShare& batch) const {
  const FairQueue& first = lanes_[RankIndex(Rank::kUrgent)];
  if (first.empty()) return {Rank::kDeferrable, false};
  if (BothWait() && floor_.DeferrableDue(batch, NextDeferrableTokens())) {
    return {Rank::kDeferrable, true};
  }
  return {first.Head().dispatch.rank, false};
}

void RequestQueue::EndContentionIfOver() {
  if (!BothWait()) floor_.Reset();
}

QueuedRequest RequestQueue::PopHead(Rank rank, double tokens) {
  FairQueue& lanes = Lanes(rank);
  const auto found = places_.find(lanes.Head().dispatch.request);
  deadlines_.erase({lanes.Head().start_by, found->second.serial});
  places_.erase(found);
  QueuedRequest request = lanes.PopHead(tokens);
  EndContentionIfOver();
  return request;
}

void RequestQueue::Correct(Rank rank, const WorkspaceId& workspace,
                           double tokens) {
  Lanes(rank).Charge(LaneName(workspace), tokens);
}

void RequestQueue::CountMade(Rank rank, double tokens) {
  if (BothWait()) {
    floor_.CountMade(rank, tokens, NextDeferrableTokens());
  }
}

std::optional<QueuedRequest> RequestQueue::Remove(const RequestId& request) {
  const auto found = places_.find(request);
  if (found == places_.end()) return std::nullopt;
  const Place place = found->second;
  places_.erase(found);
  deadlines_.erase({place.place.request->start_by, place.serial});
  QueuedRequest removed = lanes_.at(place.lanes).Remove(place.place);
  EndContentionIfOver();
  return removed;
}

std::vector<QueuedRequest> RequestQueue::RemoveOfEntry(const ProcessId& entry) {
  std::vector<RequestId> of_entry;
  for (const auto& [deadline, id] : deadlines_) {
    if (places_.at(id).place.request->entry == entry) of_entry.push_back(id);
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

std::vector<QueuedRequest> RequestQueue::RemoveOverdue(Time now) {
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
  return Lanes(rank).TokensAhead(LaneName(workspace), weight);
}

}  // namespace coltsfootfork
