#pragma once

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Share of memory and batch reserved from deferrable work, so that urgent work
// starts without waiting for a stream to end. Grows whenever urgent work has
// waited behind deferrable work and decays slowly, which adapts it to the
// urgent demand without a demand model.
class UrgentHeadroom {
 public:
  // `min_share` is always reserved, from 0 to 1.
  explicit UrgentHeadroom(double min_share)
      : min_share_(min_share), share_(min_share) {}

  // Shorter waits do not increase the headroom.
  void SetSignificantWait(Duration wait) { significant_wait_ = wait; }

  // Records the wait of an urgent request that started while deferrable work
  // ran beyond its floor.
  void CountWait(Duration wait);
  void Observe(Time now);

  double share() const { return share_; }

 private:
  double min_share_;
  double share_;
  Duration significant_wait_{0};
  Time last_decay_;
};

}  // namespace coltsfootfork
