#pragma once

#include <cstdint>
#include <utility>

#include "coltsfootfork/core/gateway/load_balancer.h"

namespace coltsfootfork {

// Counts a load on a server while it lives: a call's, or room that is spoken
// for before the call runs there.
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

  // The call's prompt has been read.
  void OnPrefillDone() {
    if (!active_) return;
    balancer_.OnPrefillDone(server_, load_.pending_prefill_tokens);
    load_.pending_prefill_tokens = 0;
  }
  // It takes so many tokens more than was expected.
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
