#pragma once

#include <cstdint>
#include <utility>

#include "coltsfootfork/core/gateway/load_balancer.h"

namespace coltsfootfork {

// Reserves load on a server for its lifetime: for a call that runs there, or
// for one that may be resumed there.
class LoadReservation {
 public:
  LoadReservation(LoadBalancer& balancer, ServerId server,
                  const ServerLoad& load)
      : balancer_(balancer), server_(std::move(server)), load_(load) {
    balancer_.ReserveLoad(server_, load_);
  }
  ~LoadReservation() { Release(); }
  LoadReservation(const LoadReservation&) = delete;
  LoadReservation& operator=(const LoadReservation&) = delete;

  void Release() {
    if (!std::exchange(active_, false)) return;
    balancer_.ReleaseLoad(server_, load_);
  }

  // Releases the pending prefill tokens.
  void OnPrefillDone() {
    if (!active_) return;
    balancer_.OnPrefillDone(server_, load_.pending_prefill_tokens);
    load_.pending_prefill_tokens = 0;
  }
  // Reserves more tokens for a call that exceeds its predicted memory.
  void AddTokens(std::uint64_t tokens) {
    if (!active_) return;
    balancer_.ReserveLoad(server_, {0, tokens, 0});
    load_.tokens += tokens;
  }

 private:
  LoadBalancer& balancer_;
  ServerId server_;
  ServerLoad load_;
  bool active_ = true;
};

}  // namespace coltsfootfork
