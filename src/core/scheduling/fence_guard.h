#pragma once

#include <optional>
#include <string>

#include "coltsfootfork/core/messages/engine_messages.h"

namespace coltsfootfork {

// What the guard says of an order.
struct OrderVerdict {
  bool pass = false;
  // Why it does not pass.
  std::string problem;
};

// Lets no order pass that is older than the newest one, whether the backend
// server checks that itself or not, and none before the floor was learnt.
class FenceGuard {
 public:
  void LearnFloor(const FencingToken& floor);
  OrderVerdict Check(const EngineOrder& order);

 private:
  std::optional<FencingToken> floor_;
  // The newest order that passed.
  std::optional<FencingToken> passed_;
};

}  // namespace coltsfootfork
