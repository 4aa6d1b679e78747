#pragma once

#include <cstdint>
#include <memory>

namespace coltsfootfork {

// The state of a request at its entry.
enum class StreamState : std::uint8_t {
  // Queued until a backend server is selected.
  kWaiting = 0,
  // Waiting for the claim of its idempotency key.
  kClaiming,
  // Dispatched; no token has been delivered.
  kDispatched,
  // At least one token has been delivered.
  kStreaming,
  // A resume of the live generation from the next index has been requested.
  kResuming,
  // The final response has been sent.
  kFinished,
};

// Events that trigger the state transitions of a request.
enum class StreamEvent : std::uint8_t {
  kClaimRequested = 0,
  kClaimGranted,
  kRequestDispatched,
  kTokenDelivered,
  // Withdrawn before the first token, to be dispatched again.
  kRequestWithdrawn,
  kResumeRequested,
  kEnded,
};

// The life cycle of one request as a state machine.
class StreamStateMachine {
 public:
  StreamStateMachine();
  ~StreamStateMachine();
  StreamStateMachine(StreamStateMachine&& other) noexcept;
  StreamStateMachine& operator=(StreamStateMachine&& other) noexcept;

  StreamState state() const;

  // Applies the event. Returns false, and keeps the state, if the event is not
  // valid in the current state.
  bool Apply(StreamEvent event);

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace coltsfootfork
