#pragma once

#include <cstdint>
#include <memory>

namespace coltsfootfork {

// Where a request stands at its entry.
enum class StreamState : std::uint8_t {
  // Waits for a backend server to be chosen.
  kWaiting = 0,
  // Waits for the claim of its idempotency key.
  kClaiming,
  // Handed over; nothing has been delivered.
  kDispatched,
  // At least one token has been delivered.
  kStreaming,
  // The live generation has been asked to go on from the next index.
  kResuming,
  // The final answer has been given.
  kFinished,
};

// What moves a request from one state to the next.
enum class StreamEvent : std::uint8_t {
  kClaimAsked = 0,
  kClaimGranted,
  kHandedOver,
  kTokenDelivered,
  // Taken back before the first token, to be handed over again.
  kTakenBack,
  kResumeAsked,
  kEnded,
};

// The life cycle of one request as a state machine.
class StreamLife {
 public:
  StreamLife();
  ~StreamLife();
  StreamLife(StreamLife&& other) noexcept;
  StreamLife& operator=(StreamLife&& other) noexcept;

  StreamState state() const;

  // Moves on by the event. An event that does not fit the state changes
  // nothing and returns false.
  bool Apply(StreamEvent event);

 private:
  class Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace coltsfootfork
