#pragma once

#include <deque>
#include <functional>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Passes inputs to a replica one at a time. All effects of an input are
// executed before the next input is handled, even if they add further inputs.
class InputQueue {
 public:
  // Handles one input and executes its effects.
  using Handler = std::function<void(const ReplicaInput& input)>;

  explicit InputQueue(Handler handler);

  // Handles the input at once, or after the inputs already queued.
  void Add(ReplicaInput input);
  // Runs `work`, then handles the inputs that it added.
  void Run(const std::function<void()>& work);
  void Clear() { inputs_.clear(); }

 private:
  void HandleAll();

  Handler handler_;
  std::deque<ReplicaInput> inputs_;
  bool is_handling_ = false;
};

}  // namespace coltsfootfork
