#include "core/scheduling/fence_guard.h"

namespace coltsfootfork {

void FenceGuard::RaiseFloor(const FencingToken& floor) {
  if (!floor_ || *floor_ < floor) floor_ = floor;
}

OrderVerdict FenceGuard::Check(const EngineOrder& order) {
  if (!floor_) return {false, "the fence floor is not known yet"};
  if (order.fence < *floor_) return {false, "the fence is below the floor"};
  if (newest_accepted_ && order.fence < *newest_accepted_) {
    return {false, "a newer order has passed"};
  }
  if (newest_accepted_ && order.fence == *newest_accepted_) {
    return {false, "the order has passed before"};
  }
  newest_accepted_ = order.fence;
  return {true, ""};
}

}  // namespace coltsfootfork
