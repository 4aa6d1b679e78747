#include "core/scheduling/start_delay.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kLeastRetry{500};
constexpr std::chrono::milliseconds kMostRetry{60000};
// The spread of retries, as a share of the delay in thousandths.
constexpr std::int64_t kRetrySpread = 250;
constexpr std::chrono::hours kLongestDelay{1};

// Tokens a second that a rank can count on. Urgent work has all but the
// floor of waiting deferrable work; deferrable work has what urgent work has
// left of late, and its floor at least.
double RateOf(const AgentState& state, Rank rank) {
  const double total = state.capacity.total();
  const double floor = state.queue.floor() * total;
  if (rank == Rank::kDeferrable) {
    return std::max(floor, state.capacity.of(Rank::kDeferrable));
  }
  const bool shared = state.queue.size(Rank::kDeferrable) > 0;
  return shared ? total - floor : total;
}

Duration TimeFor(double tokens, double rate) {
  if (tokens <= 0) return Duration(0);
  const Duration longest = kLongestDelay;
  if (rate <= 0) return longest;
  const std::chrono::duration<double> delay(tokens / rate);
  return std::min(longest, std::chrono::duration_cast<Duration>(delay));
}

}  // namespace

Duration EstimateStartDelay(const AgentState& state, Rank rank,
                            const WorkspaceId& workspace) {
  if (!state.capacity.known()) return Duration(0);
  const double tokens =
      state.queue.TokensAhead(rank, workspace, state.WeightOf(workspace));
  return TimeFor(tokens, RateOf(state, rank));
}

Duration EstimateRankDelay(const AgentState& state, Rank rank) {
  if (!state.capacity.known()) return Duration(0);
  return TimeFor(state.queue.waiting_tokens(rank), RateOf(state, rank));
}

std::chrono::milliseconds RetryAfter(AgentState& state, Rank rank) {
  const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
      EstimateRankDelay(state, rank));
  const auto base = std::clamp(delay, kLeastRetry, kMostRetry);
  const auto spread =
      static_cast<std::int64_t>(state.random() % (kRetrySpread + 1));
  return base + base * spread / 1000;
}

}  // namespace coltsfootfork
