#pragma once

#include <cstdint>

#include "coltsfootfork/core/scheduling/scheduling_policy.h"
#include "core/scheduling/batch_limiter.h"
#include "core/scheduling/length_predictor.h"
#include "core/scheduling/running_table.h"
#include "core/scheduling/urgent_headroom.h"

namespace coltsfootfork {

// Capacity that the backend server has announced.
struct ServerLimits {
  // KV cache size in tokens; zero for a plain service.
  std::uint64_t memory_tokens = 0;
  // Maximum number of concurrent requests; zero for no limit.
  std::uint32_t max_batch = 0;
};

// How much of the reserved capacity a request may use.
enum class Privilege : std::uint8_t {
  // Ordinary deferrable work: may not use the urgent headroom.
  kNone = 0,
  // Urgent work, or deferrable work below its floor.
  kFull,
  // Urgent work of a workspace with few running requests compared to the
  // others:
  // may use a final reserved part, so that it does not wait for their streams.
  kSmallCaller,
};

// Admission control: decides whether the next request may be dispatched now.
class Admission {
 public:
  explicit Admission(AdmissionPolicy policy);

  void SetServer(const ServerLimits& limits);
  BatchLimiter& batch() { return batch_; }
  UrgentHeadroom& headroom() { return headroom_; }

  bool MayStart(const Dispatch& dispatch, Privilege privilege,
                const RunningTable& running,
                const LengthPredictor& lengths) const;

  // Updates the predicted remaining length of a running request if it has
  // generated enough tokens since the last prediction.
  void Refresh(RunningRequest& request, const LengthPredictor& lengths) const;

  // Records a preemption by the server: reserves more memory, which decays.
  void CountPreemption(Time now);
  void Observe(std::uint32_t running, Time now);

  // Share of memory reserved beyond the predictions.
  double reserve() const { return reserve_; }

 private:
  struct FitsPolicy;

  AdmissionPolicy policy_;
  // Quantile of the remaining length used as the prediction.
  double length_quantile_;
  ServerLimits limits_;
  BatchLimiter batch_;
  UrgentHeadroom headroom_;
  double reserve_ = 0;
  Time reserve_updated_;
};

}  // namespace coltsfootfork
