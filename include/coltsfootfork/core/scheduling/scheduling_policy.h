#pragma once

#include <cstdint>
#include <variant>

// The ways in which an agent may order and admit work.
namespace coltsfootfork {

// One line for all work in the order of arrival, whatever its rank.
struct FirstComeFirstServed {};

// Rank first with a floor for deferrable work; weighted fair service in
// tokens among the workspaces of a rank.
struct RankedFair {};

using OrderPolicy = std::variant<FirstComeFirstServed, RankedFair>;

// Hands work over while the prompt still fits into the memory that is in use
// now, as engines do by themselves.
struct AdmitUntilFull {};

// Hands work over while the predicted peak of memory over the running batch
// fits, and while the gap between tokens keeps to the rank's target.
struct AdmitByPredictedPeak {
  // The quantile of the remaining length that a prediction counts with.
  double length_quantile = 0.4;
  // The least share of memory and batch that only urgent work may take.
  double min_urgent_headroom = 0.04;
  // Prompt tokens in prefill at one time, beyond which nothing more is handed
  // over, so that what comes next waits here and not in the engine's line.
  // Deferrable work stops at half. Small callers are free of it.
  std::uint32_t max_prefill_tokens = 1024;
};

using AdmissionPolicy = std::variant<AdmitUntilFull, AdmitByPredictedPeak>;

struct SchedulingPolicy {
  OrderPolicy order = RankedFair{};
  AdmissionPolicy admission = AdmitByPredictedPeak{};
};

}  // namespace coltsfootfork
