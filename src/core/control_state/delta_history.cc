#include "coltsfootfork/core/control_state/delta_history.h"

#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMaxDeltas = 512;
constexpr std::size_t kMaxDeltaBytes = std::size_t{512} << 10U;

// Returns the operations of a patch without the enclosing brackets.
std::string Operations(const std::string& patch) {
  return patch.substr(1, patch.size() - 2);
}

}  // namespace

void DeltaHistory::Add(RevisionDelta delta) {
  const bool follows =
      deltas_.empty() || delta.revision == deltas_.back().revision + 1;
  if (!follows) Clear();
  bytes_ += delta.patch.size();
  deltas_.push_back(std::move(delta));
  while (deltas_.size() > kMaxDeltas || bytes_ > kMaxDeltaBytes) {
    bytes_ -= deltas_.front().patch.size();
    deltas_.pop_front();
  }
}

void DeltaHistory::Clear() {
  deltas_.clear();
  bytes_ = 0;
}

std::optional<std::string> DeltaHistory::PatchFrom(Revision revision) const {
  if (deltas_.empty() || revision + 1 < deltas_.front().revision ||
      revision >= deltas_.back().revision) {
    return std::nullopt;
  }
  // A patch is a list of operations, so patches are joined by concatenation.
  std::string patch = "[";
  for (const RevisionDelta& delta : deltas_) {
    if (delta.revision <= revision) continue;
    const std::string operations = Operations(delta.patch);
    if (operations.empty()) continue;
    if (patch.size() > 1) patch += ",";
    patch += operations;
  }
  return patch + "]";
}

std::vector<RevisionDelta> DeltaHistory::List() const {
  return {deltas_.begin(), deltas_.end()};
}

}  // namespace coltsfootfork
