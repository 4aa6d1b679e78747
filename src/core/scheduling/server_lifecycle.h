#pragma once

#include <cstdint>
#include <memory>

namespace coltsfootfork {

// State of the backend server as seen by its agent.
enum class ServerStage : std::uint8_t {
  // Has not announced itself yet, or has timed out.
  kUnavailable = 0,
  kServing,
  // Completes its running requests and accepts no new ones.
  kDraining,
};

// State machine of the backend server. An announcement changes the stage to
// serving or draining, a timeout to unavailable. A draining server serves again
// only after an announcement without the drain notice.
class ServerLifecycle {
 public:
  ServerLifecycle();
  ~ServerLifecycle();
  ServerLifecycle(ServerLifecycle&&) noexcept;
  ServerLifecycle& operator=(ServerLifecycle&&) noexcept;

  void OnServing();
  void OnDraining();
  void OnTimeout();

  ServerStage stage() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace coltsfootfork
