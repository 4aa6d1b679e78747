#include "core/scheduling/start_delay.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kMinRetryAfter{500};
constexpr std::chrono::milliseconds kMaxRetryAfter{60000};
// Maximum jitter of the retry delay in thousandths of the delay.
constexpr std::int64_t kRetryJitterPermille = 250;
constexpr std::chrono::hours kMaxDelay{1};

// Expected throughput of a rank in tokens per second. Urgent work gets all
// except the floor while deferrable work is queued; deferrable work gets its
// recent rate, at least its floor.
double TokenRateOf(const AgentState& state, Rank rank) {
  const double total_rate = state.capacity.total_rate();
  const double floor = state.queue.floor() * total_rate;
  if (rank == Rank::kDeferrable) {
    return std::max(floor, state.capacity.rank_rate(Rank::kDeferrable));
  }
  const bool shared = state.queue.size(Rank::kDeferrable) > 0;
  return shared ? total_rate - floor : total_rate;
}

Duration TimeFor(double tokens, double rate) {
  if (tokens <= 0) return Duration(0);
  const Duration max_delay = kMaxDelay;
  if (rate <= 0) return max_delay;
  const std::chrono::duration<double> delay(tokens / rate);
  return std::min(max_delay, std::chrono::duration_cast<Duration>(delay));
}

}  // namespace

Duration EstimateStartDelay(const AgentState& state, Rank rank,
                            const WorkspaceId& workspace) {
  if (!state.capacity.known()) return Duration(0);
  const double tokens =
      state.queue.TokensAhead(rank, workspace, state.WeightOf(workspace));
  return TimeFor(tokens, TokenRateOf(state, rank));
}

Duration EstimateRankDelay(const AgentState& state, Rank rank) {
  if (!state.capacity.known()) return Duration(0);
  return TimeFor(state.queue.waiting_tokens(rank), TokenRateOf(state, rank));
}

std::chrono::milliseconds RetryAfter(AgentState& state, Rank rank) {
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
      EstimateRankDelay(state, rank));
  const auto base = std::clamp(delay, kMinRetryAfter, kMaxRetryAfter);
  const auto jitter =
      static_cast<std::int64_t>(state.random() % (kRetryJitterPermille + 1));
  return base + base * jitter / 1000;
}

}  // namespace coltsfootfork
