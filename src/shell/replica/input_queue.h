#pragma once

#include <deque>
#include <functional>

#include "coltsfootfork/core/replication/replica_io.h"

namespace coltsfootfork {

// Hands a replica its inputs one after another: the effects of one are carried
// out whole before the next is handled, also where they lead to further inputs.
class InputQueue {
 public:
  // Handles one input and carries out its effects.
  using Handler = std::function<void(const ReplicaInput& input)>;

  explicit InputQueue(Handler handler);

  // Handled at once, or after what is being handled.
  void Add(ReplicaInput input);
  // Does the work; inputs that it leads to are handled after it.
  void Run(const std::function<void()>& work);
  void Clear() { inputs_.clear(); }

 private:
  void HandleAll();

  Handler handler_;
  std::deque<ReplicaInput> inputs_;
  bool is_handling_ = false;
};

}  // namespace coltsfootfork
