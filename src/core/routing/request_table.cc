#include "core/routing/request_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

RequestRow* RequestTable::Add(CallerRequest call, Time now) {
  const RequestId name = call.request;
  const auto [place, added] = rows_.try_emplace(name);
  if (!added) return nullptr;
  place->second.call = std::move(call);
  place->second.arrived = now;
  return &place->second;
}

RequestRow* RequestTable::Find(const RequestId& request) {
  const auto found = rows_.find(request);
  return found == rows_.end() ? nullptr : &found->second;
}

void RequestTable::Remove(const RequestId& request) {
  const auto found = rows_.find(request);
  if (found == rows_.end()) return;
  due_.erase({found->second.indexed_at, request});
  if (found->second.waits) {
    std::vector<RequestId>& waiting =
        waiting_.at(RankIndex(found->second.rank));
    waiting.erase(std::remove(waiting.begin(), waiting.end(), request),
                  waiting.end());
  }
  rows_.erase(found);
}

void RequestTable::SetDeadline(RequestRow* row, Time deadline) {
  row->deadline = deadline;
  Index(row);
}

void RequestTable::SetCallerStall(RequestRow* row, Time stalls_at) {
  row->caller.stalls_at = stalls_at;
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

RequestRow* RequestTable::TakeDue(Time now) {
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
  std::vector<RequestId> names;
  for (const auto& [name, row] : rows_) {
    if (row.server == server) names.push_back(name);
  }
  return names;
}

void RequestTable::StartWaiting(RequestRow* row) {
  row->waits = true;
  waiting_.at(RankIndex(row->rank)).push_back(row->call.request);
}

std::vector<RequestId> RequestTable::TakeWaiting() {
  std::vector<RequestId> taken;
  for (std::vector<RequestId>& waiting : waiting_) {
    for (RequestId& request : waiting) {
      rows_.at(request).waits = false;
      taken.push_back(std::move(request));
    }
    waiting.clear();
  }
  return taken;
}

}  // namespace coltsfootfork
