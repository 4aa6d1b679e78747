#include "core/scheduling/admission.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "core/scheduling/memory_peak.h"

namespace coltsfootfork {
namespace {

// Tokens between two predictions for one request.
constexpr std::uint32_t kRefreshTokens = 16;
constexpr double kReserveStep = 0.02;
constexpr double kLargestReserve = 0.4;
// What is left of the reserve after one interval without a preemption.
constexpr double kReserveDecay = 0.995;
constexpr std::chrono::milliseconds kReserveInterval{500};

double HeldNow(const RunningTable& running) {
  double held = 0;
  for (const auto& [id, request] : running.all()) held += request.held();
  return held;
}

std::vector<MemoryUse> UseOf(const RunningTable& running) {
  std::vector<MemoryUse> batch;
  batch.reserve(running.size() + 1);
  for (const auto& [id, request] : running.all()) {
    batch.push_back({request.held(), request.remaining()});
  }
  return batch;
}

double HeldAtStart(const Dispatch& dispatch) {
  return static_cast<double>(dispatch.prompt_tokens) + dispatch.first_index;
}

}  // namespace

// Applies the bounds that differ between policies.
struct Admission::FitsPolicy {
  const Admission& admission;
  const QueuedRequest& request;
  // Held to the bounds of urgent work.
  bool privileged;
  const RunningTable& running;
  const LengthPredictor& lengths;

  bool operator()(const AdmitUntilFull& /*policy*/) const {
    const double memory = static_cast<double>(admission.limits_.memory_tokens);
    if (memory == 0) return true;
    return HeldNow(running) + HeldAtStart(request.dispatch) + 1 <= memory;
  }

  bool operator()(const AdmitByPredictedPeak& policy) const {
    const double memory = static_cast<double>(admission.limits_.memory_tokens);
    if (memory == 0) return true;
    const Rank rank = privileged ? Rank::kUrgent : Rank::kDeferrable;
    if (running.size() >= admission.batch_.Limit(rank)) return false;
    if (!privileged && running.prefill_tokens() >= policy.prefill_tokens) {
      return false;
    }
    const double headroom = privileged ? 0 : policy.urgent_headroom;
    const double free_share = admission.reserve_ + headroom;
    return Peak(policy) <= memory * (1 - free_share);
  }

  double Peak(const AdmitByPredictedPeak& policy) const {
    const Dispatch& dispatch = request.dispatch;
    std::vector<MemoryUse> batch = UseOf(running);
    batch.push_back(
        {HeldAtStart(dispatch),
         lengths.Remaining(dispatch.service, dispatch.workspace,
                           dispatch.first_index, dispatch.max_output_tokens,
                           policy.length_quantile)});
    return PredictPeak(std::move(batch));
  }
};

void Admission::SetServer(const ServerLimits& limits) {
  limits_ = limits;
  batch_.SetMost(limits.max_batch);
}

bool Admission::MayStart(const QueuedRequest& request, bool is_floor,
                         const RunningTable& running,
                         const LengthPredictor& lengths) const {
  // An empty server takes anything: nothing else can make room.
  if (running.size() == 0) return true;
  if (limits_.max_batch > 0 && running.size() >= limits_.max_batch) {
    return false;
  }
  const bool privileged = is_floor || request.dispatch.rank == Rank::kUrgent;
  return std::visit(FitsPolicy{*this, request, privileged, running, lengths},
                    policy_);
}

double Admission::LengthQuantile() const {
  const auto* policy = std::get_if<AdmitByPredictedPeak>(&policy_);
  return policy == nullptr ? AdmitByPredictedPeak().length_quantile
                           : policy->length_quantile;
}

void Admission::Refresh(RunningRequest& request,
                        const LengthPredictor& lengths) const {
  const bool is_first = request.predicted_remaining == 0;
  if (!is_first && request.next_index < request.predicted_at + kRefreshTokens) {
    return;
  }
  request.predicted_remaining =
      lengths.Remaining(request.service, request.workspace, request.next_index,
                        request.max_output_tokens, LengthQuantile());
  request.predicted_at = request.next_index;
}

void Admission::CountPreemption(Time now) {
  reserve_ = std::min(kLargestReserve, reserve_ + kReserveStep);
  reserve_changed_ = now;
}

void Admission::Observe(std::uint32_t running, Time now) {
  batch_.Observe(running, now);
  if (now - reserve_changed_ < kReserveInterval) return;
  reserve_ *= kReserveDecay;
  reserve_changed_ = now;
}

}  // namespace coltsfootfork
