#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The JSON patch from the previous revision to this one.
struct RevisionDelta {
  Revision revision = 0;
  std::string patch;
};

// The most recent deltas without a gap, bounded in number and total size.
class DeltaHistory {
 public:
  // Clears the history first if the revision doesn't directly follow the
  // latest one.
  void Add(RevisionDelta delta);
  void Clear();

  // Returns one patch from `revision` to the latest revision, or std::nullopt
  // if the history lacks a delta in between.
  std::optional<std::string> PatchFrom(Revision revision) const;

  std::vector<RevisionDelta> List() const;

 private:
  std::deque<RevisionDelta> deltas_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
