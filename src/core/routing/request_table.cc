#include "core/routing/request_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

RequestRow* RequestTable::Add(CallerRequest call, Time now) {
  const RequestId id = call.request;
  const auto [it, added] = rows_.try_emplace(id);
  if (!added) return nullptr;
  it->second.call = std::move(call);
  it->second.arrived_at = now;
  return &it->second;
}

RequestRow* RequestTable::Find(const RequestId& request) {
  const auto found = rows_.find(request);
  return found == rows_.end() ? nullptr : &found->second;
}

void RequestTable::Remove(const RequestId& request) {
  const auto found = rows_.find(request);
  if (found == rows_.end()) return;
  due_.erase({found->second.indexed_at, request});
  if (found->second.is_queued) {
    std::vector<RequestId>& queue = queued_.at(RankIndex(found->second.rank));
    queue.erase(std::remove(queue.begin(), queue.end(), request), queue.end());
  }
  rows_.erase(found);
}

void RequestTable::SetDeadline(RequestRow* row, Time deadline) {
  row->deadline = deadline;
  Index(row);
}

void RequestTable::SetCallerStallDeadline(RequestRow* row,
                                          Time stall_deadline) {
  row->caller.stall_deadline = stall_deadline;
  Index(row);
}

void RequestTable::Index(RequestRow* row) {
  const Time due_at = row->DueAt();
  if (due_at >= row->indexed_at) return;
  due_.erase({row->indexed_at, row->call.request});
  row->indexed_at = due_at;
  due_.insert({due_at, row->call.request});
}

std::optional<Time> RequestTable::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->at;
}

RequestRow* RequestTable::PopDue(Time now) {
  while (!due_.empty() && due_.begin()->at <= now) {
    RequestRow* row = Find(due_.begin()->request);
    due_.erase(due_.begin());
    row->indexed_at = Time::max();
    if (row->DueAt() <= now) return row;
    Index(row);
  }
  return nullptr;
}

std::vector<RequestId> RequestTable::OnServer(ServerIndex server) const {
  std::vector<RequestId> requests;
  for (const auto& [id, row] : rows_) {
    if (row.server == server) requests.push_back(id);
  }
  return requests;
}

void RequestTable::Enqueue(RequestRow* row) {
  row->is_queued = true;
  queued_.at(RankIndex(row->rank)).push_back(row->call.request);
}

std::vector<RequestId> RequestTable::TakeQueued() {
  std::vector<RequestId> requests;
  for (std::vector<RequestId>& queue : queued_) {
    for (RequestId& request : queue) {
      rows_.at(request).is_queued = false;
      requests.push_back(std::move(request));
    }
    queue.clear();
  }
  return requests;
}

}  // namespace coltsfootfork
