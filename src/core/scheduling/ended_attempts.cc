#include "core/scheduling/ended_attempts.h"

#include <algorithm>

namespace coltsfootfork {

void EndedAttempts::Remember(const RequestId& request, Generation generation) {
  const auto [it, is_new] = generations_.emplace(request, generation);
  it->second = std::max(it->second, generation);
  if (!is_new) return;
  order_.push_back(request);
  if (order_.size() <= kMaxAttempts) return;
  generations_.erase(order_.front());
  order_.pop_front();
}

bool EndedAttempts::IsDuplicate(const Dispatch& dispatch) const {
  const auto found = generations_.find(dispatch.request);
  if (found == generations_.end()) return false;
  if (dispatch.generation < found->second) return true;
  return dispatch.generation == found->second && dispatch.first_index == 0;
}

}  // namespace coltsfootfork
