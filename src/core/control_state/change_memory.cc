#include "coltsfootfork/core/control_state/change_memory.h"

#include <utility>

namespace coltsfootfork {

const RememberedChange* ChangeMemory::Find(const std::string& change_id) const {
  const auto found = changes_.find(change_id);
  return found == changes_.end() ? nullptr : &found->second;
}

void ChangeMemory::Remember(RememberedChange change) {
  if (changes_.size() >= kMaxChanges) EraseOldest();
  by_time_.emplace(change.at, change.change_id);
  std::string id = change.change_id;
  changes_.emplace(std::move(id), std::move(change));
}

void ChangeMemory::Expire(std::chrono::milliseconds now) {
  while (!by_time_.empty() &&
         by_time_.begin()->first + kChangeRetention <= now) {
    EraseOldest();
  }
}

std::vector<RememberedChange> ChangeMemory::List() const {
  std::vector<RememberedChange> list;
  for (const auto& [at, id] : by_time_) list.push_back(changes_.at(id));
  return list;
}

void ChangeMemory::EraseOldest() {
  changes_.erase(by_time_.begin()->second);
  by_time_.erase(by_time_.begin());
}

}  // namespace coltsfootfork
