#pragma once

#include <cstdint>

#include "coltsfootfork/core/scheduling/scheduling_policy.h"
#include "core/scheduling/batch_limiter.h"
#include "core/scheduling/length_predictor.h"
#include "core/scheduling/running_table.h"
#include "core/scheduling/urgent_headroom.h"

namespace coltsfootfork {

// What the backend server can hold, as it announced.
struct ServerLimits {
  // Tokens of key/value memory; zero for a plain service.
  std::uint64_t memory_tokens = 0;
  // Requests at once; zero for no bound.
  std::uint32_t max_batch = 0;
};

// How far a request may go into what is kept free.
enum class Privilege : std::uint8_t {
  // Deferrable work in its turn: leaves the headroom of urgent work alone.
  kNone = 0,
  // Urgent work, or deferrable work that is owed its floor.
  kFull,
  // Urgent work of a workspace that runs little here beside the others: a last
  // part is kept for it, so that it need not wait for their streams.
  kSmallCaller,
};

// Decides whether the next request may be handed over now.
class Admission {
 public:
  explicit Admission(AdmissionPolicy policy);

  void SetServer(const ServerLimits& limits);
  BatchLimiter& batch() { return batch_; }
  UrgentHeadroom& headroom() { return headroom_; }

  bool MayStart(const Dispatch& dispatch, Privilege privilege,
                const RunningTable& running,
                const LengthPredictor& lengths) const;

  // Predicts the remaining length of a running request anew, once it has made
  // enough tokens since the last time.
  void Refresh(RunningRequest& request, const LengthPredictor& lengths) const;

  // The server has preempted: keeps more memory free for a while.
  void CountPreemption(Time now);
  void Observe(std::uint32_t running, Time now);

  // The share of memory that is kept free beyond the predictions.
  double reserve() const { return reserve_; }

 private:
  struct FitsPolicy;

  AdmissionPolicy policy_;
  // The quantile of the remaining length that a prediction counts with.
  double length_quantile_;
  ServerLimits limits_;
  BatchLimiter batch_;
  UrgentHeadroom headroom_;
  double reserve_ = 0;
  Time reserve_updated_;
};

}  // namespace coltsfootfork
