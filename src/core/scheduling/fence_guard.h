#pragma once

#include <optional>
#include <string>

#include "coltsfootfork/core/messages/engine_messages.h"

namespace coltsfootfork {

// Result of the check of an order.
struct OrderVerdict {
  bool valid = false;
  // Reason why the order is not valid.
  std::string problem;
};

// Rejects orders whose fencing token is not newer than the last accepted one,
// for backend servers that do not check fencing tokens themselves. Rejects all
// orders until the floor is known.
class FenceGuard {
 public:
  void RaiseFloor(const FencingToken& floor);
  OrderVerdict Check(const EngineOrder& order);

 private:
  std::optional<FencingToken> floor_;
  // Fencing token of the newest accepted order.
  std::optional<FencingToken> newest_accepted_;
};

}  // namespace coltsfootfork
