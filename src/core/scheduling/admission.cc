#include "core/scheduling/admission.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "core/scheduling/memory_peak.h"

namespace coltsfootfork {
namespace {

// Tokens between two predictions for one request.
constexpr std::uint32_t kRefreshTokens = 16;
// The share of memory and batch that only the first request of a workspace
// may take.
constexpr double kKeptForSmall = 0.02;
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

AdmitByPredictedPeak PredictionOf(const AdmissionPolicy& policy) {
  const auto* predicted = std::get_if<AdmitByPredictedPeak>(&policy);
  return predicted == nullptr ? AdmitByPredictedPeak() : *predicted;
}

double HeldAtStart(const Dispatch& dispatch) {
  return static_cast<double>(dispatch.prompt_tokens) + dispatch.first_index;
}

}  // namespace

// Applies the bounds that differ between policies.
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
    return HeldNow(running) + HeldAtStart(dispatch) + 1 <= Memory();
  }

  bool operator()(const AdmitByPredictedPeak& policy) const {
    const double kept = KeptFree();
    if (running.size() >= admission.batch_.Limit() * (1 - kept)) return false;
    const bool waits_for_prefill =
        privilege == Privilege::kNone &&
        running.prefill_tokens() >= policy.prefill_tokens;
    if (waits_for_prefill) return false;
    return Peak() <= Memory() * (1 - admission.reserve_ - kept);
  }

  // The share of memory and batch that this request leaves alone.
  double KeptFree() const {
    switch (privilege) {
      case Privilege::kNone:
        return kKeptForSmall + admission.headroom_.share();
      case Privilege::kFull:
        return kKeptForSmall;
      case Privilege::kFirstOfWorkspace:
        break;
    }
    return 0;
  }

  double Peak() const {
    std::vector<MemoryUse> batch = UseOf(running);
    batch.push_back(
        {HeldAtStart(dispatch),
         lengths.Remaining(dispatch.service, dispatch.workspace,
                           dispatch.first_index, dispatch.max_output_tokens,
                           admission.length_quantile_)});
    return PredictPeak(std::move(batch));
  }
};

Admission::Admission(AdmissionPolicy policy)
    : policy_(policy),
      length_quantile_(PredictionOf(policy).length_quantile),
      headroom_(PredictionOf(policy).urgent_headroom) {}

void Admission::SetServer(const ServerLimits& limits) {
  limits_ = limits;
  batch_.SetMost(limits.max_batch);
}

bool Admission::MayStart(const Dispatch& dispatch, Privilege privilege,
                         const RunningTable& running,
                         const LengthPredictor& lengths) const {
  // An empty server takes anything: nothing else can make room.
  if (running.size() == 0) return true;
  if (limits_.max_batch > 0 && running.size() >= limits_.max_batch) {
    return false;
  }
  // A plain service has no memory of prompts.
  if (limits_.memory_tokens == 0) return true;
  return std::visit(FitsPolicy{*this, dispatch, privilege, running, lengths},
                    policy_);
}

void Admission::Refresh(RunningRequest& request,
                        const LengthPredictor& lengths) const {
  const bool is_first = request.predicted_remaining == 0;
  if (!is_first && request.next_index < request.predicted_at + kRefreshTokens) {
    return;
  }
  request.predicted_remaining =
      lengths.Remaining(request.service, request.workspace, request.next_index,
                        request.max_output_tokens, length_quantile_);
  request.predicted_at = request.next_index;
}

void Admission::CountPreemption(Time now) {
  reserve_ = std::min(kLargestReserve, reserve_ + kReserveStep);
  reserve_changed_ = now;
}

void Admission::Observe(std::uint32_t running, Time now) {
  batch_.Observe(running, now);
  headroom_.Observe(now);
  if (now - reserve_changed_ < kReserveInterval) return;
  reserve_ *= kReserveDecay;
  reserve_changed_ = now;
}

}  // namespace coltsfootfork
