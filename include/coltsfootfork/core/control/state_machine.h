#pragma once

#include <string>

namespace coltsfootfork {

// What a replicated log keeps. It must be deterministic: the same commands in
// the same order give the same replies and the same snapshots.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies a committed command and gives its reply.
  virtual std::string Apply(const std::string& command) = 0;
  // The whole state, as bytes that Restore takes.
  virtual std::string Snapshot() const = 0;
  // Replaces the whole state.
  virtual void Restore(const std::string& snapshot) = 0;
};

}  // namespace coltsfootfork
