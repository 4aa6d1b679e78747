#pragma once

#include <string>

namespace coltsfootfork {

// State that is replicated through a log. Implementations must be
// deterministic: the same commands in the same order produce the same replies
// and snapshots.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies a committed command and returns its reply.
  virtual std::string Apply(const std::string& command) = 0;
  // Returns the whole state, encoded for Restore.
  virtual std::string Snapshot() const = 0;
  // Replaces the whole state by that of a snapshot.
  virtual void Restore(const std::string& snapshot) = 0;
};

}  // namespace coltsfootfork
