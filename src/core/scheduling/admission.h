#pragma once

#include <cstdint>

#include "coltsfootfork/core/scheduling/scheduling_policy.h"
#include "core/scheduling/batch_bound.h"
#include "core/scheduling/length_predictor.h"
#include "core/scheduling/queued_request.h"
#include "core/scheduling/running_table.h"

namespace coltsfootfork {

// What the backend server can hold, as it announced.
struct ServerLimits {
  // Tokens of key/value memory; zero for a plain service.
  std::uint64_t memory_tokens = 0;
  // Requests at once; zero for no bound.
  std::uint32_t max_batch = 0;
};

// Decides whether the next request may be handed over now.
class Admission {
 public:
  explicit Admission(AdmissionPolicy policy) : policy_(policy) {}

  void SetServer(const ServerLimits& limits);
  BatchBound& batch() { return batch_; }
  const BatchBound& batch() const { return batch_; }

  // `is_floor` says that the request's turn is owed by the floor, so that it
  // is held to the same bounds as urgent work.
  bool MayStart(const QueuedRequest& request, bool is_floor,
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

  double LengthQuantile() const;

  AdmissionPolicy policy_;
  ServerLimits limits_;
  BatchBound batch_;
  double reserve_ = 0;
  Time reserve_changed_;
};

}  // namespace coltsfootfork
