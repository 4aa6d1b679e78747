#include "core/scheduling/admission.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <vector>

#include "core/scheduling/memory_peak.h"

namespace coltsfootfork {
namespace {

// Tokens between two predictions for one request.
constexpr std::uint32_t kPredictionRefreshTokens = 16;
// Share of memory and batch reserved for small callers.
constexpr double kSmallCallerShare = 0.02;
// Excess over the limits allowed for a small caller's request. Some predictions
// are too long, and one more request in the batch barely changes the token gap.
constexpr double kSmallCallerMemoryExcess = 0.03;
constexpr double kSmallCallerBatchExcess = 0.15;
constexpr double kReserveStep = 0.02;
constexpr double kMaxReserve = 0.4;
// Factor of the reserve per interval without a preemption.
constexpr double kReserveDecay = 0.995;
constexpr std::chrono::milliseconds kReserveInterval{500};

double UsedTokens(const RunningTable& running) {
  double used_tokens = 0;
  for (const auto& [id, request] : running.all()) {
    used_tokens += request.kv_tokens();
  }
  return used_tokens;
}

std::vector<MemoryUse> MemoryUseOf(const RunningTable& running) {
  std::vector<MemoryUse> batch;
  batch.reserve(running.size() + 1);
  for (const auto& [id, request] : running.all()) {
    batch.push_back({request.kv_tokens(), request.remaining()});
  }
  return batch;
}

AdmitByPredictedPeak PredictionOf(const AdmissionPolicy& policy) {
  const auto* predicted = std::get_if<AdmitByPredictedPeak>(&policy);
  return predicted == nullptr ? AdmitByPredictedPeak() : *predicted;
}

double KvTokensAtStart(const Dispatch& dispatch) {
  return static_cast<double>(dispatch.prompt_tokens) + dispatch.first_index;
}

}  // namespace

// Applies the limits of the admission policy.
struct Admission::FitsPolicy {
  const Admission& admission;
  const Dispatch& dispatch;
  Privilege privilege;
  const RunningTable& running;
  const LengthPredictor& lengths;

  double Memory() const {
    return static_cast<double>(admission.limits_.memory_tokens);
  }

  bool operator()(const AdmitUntilFull& /*policy*/) const {
    // A plain service has no KV cache.
    if (Memory() == 0) return true;
    return UsedTokens(running) + KvTokensAtStart(dispatch) + 1 <= Memory();
  }

  bool operator()(const AdmitByPredictedPeak& policy) const {
    const Bounds bounds = BoundsOf(policy);
    if (Memory() == 0) {
      const std::uint32_t most = admission.limits_.max_batch;
      return most == 0 || running.size() < most * bounds.batch_share;
    }
    return running.size() < admission.batch_.Limit() * bounds.batch_share &&
           PendingPrefill() < bounds.prefill_tokens &&
           PredictedPeak() <= Memory() * bounds.memory_share;
  }

  // Prompt tokens that the engine prefills before this request.
  std::uint64_t PendingPrefill() const {
    const std::uint64_t urgent = running.prefill_tokens(Rank::kUrgent);
    if (dispatch.rank == Rank::kUrgent) return urgent;
    return urgent + running.prefill_tokens(Rank::kDeferrable);
  }

  // Limits that the request must stay within, as shares of the capacity.
  struct Bounds {
    double batch_share = 1;
    double memory_share = 1;
    std::uint64_t prefill_tokens = 0;
  };

  Bounds BoundsOf(const AdmitByPredictedPeak& policy) const {
    const double full = 1 - kSmallCallerShare;
    const double after_headroom = full - admission.headroom_.share();
    // Urgent work may use the reserve, since it is not the work preempted.
    const double unreserved = after_headroom - admission.reserve_;
    switch (privilege) {
      case Privilege::kNone:
        return {after_headroom, unreserved, policy.max_prefill_tokens / 2};
      case Privilege::kFull:
        return {full, full, policy.max_prefill_tokens};
      case Privilege::kSmallCaller:
        break;
    }
    return {1 + kSmallCallerBatchExcess, 1 + kSmallCallerMemoryExcess,
            std::numeric_limits<std::uint64_t>::max()};
  }

  // The memory peak while the request runs. Later growth of streams that
  // outlive it does not depend on the request, and delaying it would not reduce
  // it.
  double PredictedPeak() const {
    const double remaining = lengths.Remaining(
        dispatch.service, dispatch.workspace, dispatch.first_index,
        dispatch.max_output_tokens, admission.length_quantile_);
    std::vector<MemoryUse> batch = MemoryUseOf(running);
    batch.push_back({KvTokensAtStart(dispatch), remaining});
    return PredictPeak(std::move(batch), remaining);
  }
};

Admission::Admission(AdmissionPolicy policy)
    : policy_(policy),
      length_quantile_(PredictionOf(policy).length_quantile),
      headroom_(PredictionOf(policy).min_urgent_headroom) {}

void Admission::SetServer(const ServerLimits& limits) {
  limits_ = limits;
  batch_.SetServerMax(limits.max_batch);
}

bool Admission::MayStart(const Dispatch& dispatch, Privilege privilege,
                         const RunningTable& running,
                         const LengthPredictor& lengths) const {
  // An idle server admits any request, since no completion can free memory.
  if (running.size() == 0) return true;
  if (limits_.max_batch > 0 && running.size() >= limits_.max_batch) {
    return false;
  }
  return std::visit(FitsPolicy{*this, dispatch, privilege, running, lengths},
                    policy_);
}

void Admission::Refresh(RunningRequest& request,
                        const LengthPredictor& lengths) const {
  const bool is_first = request.predicted_remaining == 0;
  if (!is_first &&
      request.next_index < request.predicted_at + kPredictionRefreshTokens) {
    return;
  }
  request.predicted_remaining =
      lengths.Remaining(request.service, request.workspace, request.next_index,
                        request.max_output_tokens, length_quantile_);
  request.predicted_at = request.next_index;
}

void Admission::CountPreemption(Time now) {
  reserve_ = std::min(kMaxReserve, reserve_ + kReserveStep);
  reserve_updated_ = now;
}

void Admission::Observe(std::uint32_t running, Time now) {
  batch_.Observe(running, now);
  headroom_.Observe(now);
  if (now - reserve_updated_ < kReserveInterval) return;
  reserve_ *= kReserveDecay;
  reserve_updated_ = now;
}

}  // namespace coltsfootfork
