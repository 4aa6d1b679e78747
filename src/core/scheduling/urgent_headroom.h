#pragma once

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The share of memory and batch that deferrable work leaves free, so that
// urgent work starts without waiting for a stream to end. It grows each time
// urgent work has waited behind deferrable work, and shrinks slowly, so that
// it follows the urgent demand without a model of it.
class UrgentHeadroom {
 public:
  // `least` is kept free always, from 0 to 1.
  explicit UrgentHeadroom(double min_share)
      : min_share_(min_share), share_(min_share) {}

  // A shorter wait than this goes unnoticed.
  void SetSignificantWait(Duration wait) { significant_wait_ = wait; }

  // Counts the start of urgent work after a wait behind deferrable work that
  // had more than its floor.
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
