#include "core/scheduling/running_table.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {

double RunningRequest::remaining() const {
  const double generated_since = static_cast<double>(next_index) - predicted_at;
  return std::max(1.0, predicted_remaining - generated_since);
}

void RunningTable::Add(RunningRequest request) {
  ++sizes_.at(RankIndex(request.rank));
  ++by_workspace_[request.workspace];
  prefill_tokens_.at(RankIndex(request.rank)) += request.prompt_tokens;
  RequestId id = request.request;
  requests_.emplace(std::move(id), std::move(request));
}

RunningRequest* RunningTable::Find(const RequestId& request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

RunningRequest* RunningTable::Find(const RequestId& request,
                                   Generation generation) {
  RunningRequest* found = Find(request);
  if (found == nullptr || found->generation != generation) return nullptr;
  return found;
}

std::uint32_t RunningTable::size(const WorkspaceId& workspace) const {
  const auto found = by_workspace_.find(workspace);
  return found == by_workspace_.end() ? 0 : found->second;
}

void RunningTable::Remove(const RequestId& request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  --sizes_.at(RankIndex(found->second.rank));
  const auto of_workspace = by_workspace_.find(found->second.workspace);
  if (--of_workspace->second == 0) by_workspace_.erase(of_workspace);
  if (found->second.in_prefill()) {
    prefill_tokens_.at(RankIndex(found->second.rank)) -=
        found->second.prompt_tokens;
  }
  requests_.erase(found);
}

void RunningTable::Advance(RunningRequest& request, Time now) {
  if (request.in_prefill()) {
    prefill_tokens_.at(RankIndex(request.rank)) -= request.prompt_tokens;
  }
  ++request.next_index;
  request.last_progress = now;
  request.preempted = false;
}

}  // namespace coltsfootfork
