#pragma once

#include <cstdint>
#include <variant>

// Policies by which an agent orders and admits requests.
namespace coltsfootfork {

// One queue in order of arrival, regardless of rank.
struct FirstComeFirstServed {};

// Strict priority of the urgent rank, except for a guaranteed minimum share
// (floor) of deferrable work. Weighted fair queueing by tokens among the
// workspaces of a rank.
struct RankedFair {};

using OrderPolicy = std::variant<FirstComeFirstServed, RankedFair>;

// Dispatches a request while its prompt fits into the memory that is free now,
// as engines do by default.
struct AdmitUntilFull {};

// Dispatches a request while the predicted memory peak of the running batch
// fits and the gap between tokens meets the rank's target.
struct AdmitByPredictedPeak {
  // Quantile of the remaining output length used as the prediction.
  double length_quantile = 0.4;
  // Minimum share of memory and batch reserved for urgent work.
  double min_urgent_headroom = 0.04;
  // Prompt tokens in prefill at which dispatch pauses, so that later requests
  // stay in the agent's queue, where they can be reordered, and not in the
  // engine's. Deferrable requests pause at half of it; small callers are
  // exempt.
  std::uint32_t max_prefill_tokens = 1024;
};

using AdmissionPolicy = std::variant<AdmitUntilFull, AdmitByPredictedPeak>;

struct SchedulingPolicy {
  OrderPolicy order = RankedFair{};
  AdmissionPolicy admission = AdmitByPredictedPeak{};
};

}  // namespace coltsfootfork
