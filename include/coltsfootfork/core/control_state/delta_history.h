#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The JSON patch from the revision before to a revision.
struct RevisionDelta {
  Revision revision = 0;
  std::string patch;
};

// The latest deltas without a gap, within a bound of number and bytes.
class DeltaHistory {
 public:
  // A delta whose revision does not follow the latest one starts anew.
  void Add(RevisionDelta delta);
  void Clear();

  // One patch from an earlier revision to the latest, or nothing where a
  // delta in between is no longer kept.
  std::optional<std::string> PatchFrom(Revision revision) const;

  std::vector<RevisionDelta> List() const;

 private:
  std::deque<RevisionDelta> deltas_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
