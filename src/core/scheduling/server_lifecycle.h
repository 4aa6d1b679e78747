#pragma once

#include <cstdint>
#include <memory>

namespace coltsfootfork {

// Where the backend server stands, as its agent sees it.
enum class ServerStage : std::uint8_t {
  // Has not announced itself, or is silent since.
  kUnavailable = 0,
  kServing,
  // Runs what it has and takes nothing new.
  kDraining,
};

// The life cycle of the backend server. An announcement brings it to serving
// or draining, silence to away. One that leaves serves again only under a new
// announcement that says so.
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
