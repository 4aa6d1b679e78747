#include "coltsfootfork/core/fleet/latency_feed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{500};
// See PerformanceTotals.
constexpr std::size_t kMaxServers = 2048;
constexpr double kHalfLifeSeconds = 10;
// A server that long streams avoid has few pauses. With a shorter half-life its
// share became unknown, and the streams that came back were late again.
constexpr double kLatePauseHalfLifeSeconds = 20;
// Long enough to hold a few prefills: an engine completes one or two a second,
// of which a third are measured.
constexpr double kRecentHalfLifeSeconds = 3;
// 15 percent of the prefills take 2.5 times as long, so the time of one call
// has a standard deviation of 0.44 of the mean, and that of four calls half of
// that.
constexpr double kMinCalls = 4;
constexpr double kMinKnownCalls = 1;
// Recent prefills of this weight, which are four calls or more, with a mean
// this much above the earlier one are a slowdown. All four must take 2.5 times
// as long then; through noise alone this has a probability of 0.0005.
constexpr double kMinSlowdownCalls = 3;
constexpr double kSlowdown = 1.9;
// A server on which one of 50 pauses is late, as on the slow engines of the
// deployments, has six late ones among so many.
constexpr double kMinPauses = 300;
constexpr double kMinKnownPauses = 30;
// Among equal servers a few late pauses occur by chance; of so many recent
// pauses at least this share must be late, and be several times the known
// share.
constexpr double kMinSuddenPauses = 40;
constexpr double kSuddenShare = 0.08;
constexpr double kSuddenRatio = 4;
constexpr double kForgottenWeight = 0.01;
// Numbers of one sum that are larger are malformed.
constexpr std::uint64_t kMaxCount = 1U << 24U;
constexpr std::uint64_t kMaxMilliseconds = 1U << 30U;
// A value is published again if it changed by this fraction.
constexpr double kPublishedPrefillChange = 0.08;
constexpr double kPublishedShareChange = 0.3;
// Smaller changes of the share of late pauses do not matter to a stream of
// some hundred events.
constexpr double kPublishedShareUnits = 5;

bool HasChanged(std::uint64_t published, std::uint64_t current, double fraction,
                double min_difference) {
  if (published == 0 || current == 0) return published != current;
  const auto before = static_cast<double>(published);
  return std::abs(static_cast<double>(current) - before) >
         std::max(fraction * before, min_difference);
}

}  // namespace

std::optional<LatencySum> LatePauseSampler::OnEvents(std::size_t events,
                                                     Duration goal, Time now) {
  if (events == 0 || goal <= Duration(0)) return std::nullopt;
  const Time last = std::exchange(last_event_, now);
  if (last == Time()) {
    last_sum_ = now;
    return std::nullopt;
  }
  // Several events in one read had been delayed on their way.
  const bool is_late = events == 1 && now - last > goal;
  if (events == 1) ++sum_.pauses;
  if (is_late) ++sum_.late_pauses;
  const bool is_due = is_late || now >= last_sum_ + kSampleInterval;
  if (!is_due || sum_.pauses == 0) return std::nullopt;
  last_sum_ = now;
  return std::exchange(sum_, LatencySum());
}

void LatencyCollector::Add(ServerKey server, const LatencySum& sum) {
  if (sums_.size() >= kMaxServers && sums_.count(server) == 0) return;
  LatencySum& total = sums_[server];
  // Longer without a report means that control is out of reach.
  if (total.prompt_tokens + sum.prompt_tokens > kMaxCount ||
      total.pauses + sum.pauses > kMaxCount ||
      total.milliseconds + sum.milliseconds > kMaxMilliseconds) {
    total = LatencySum();
  }
  total.calls += sum.calls;
  total.prompt_tokens += sum.prompt_tokens;
  total.milliseconds += sum.milliseconds;
  total.pauses += sum.pauses;
  total.late_pauses += sum.late_pauses;
}

EncodedLatencySums LatencyCollector::Take(std::size_t max_servers) {
  EncodedLatencySums numbers;
  for (; max_servers > 0 && !sums_.empty(); --max_servers) {
    auto server = sums_.lower_bound(next_);
    if (server == sums_.end()) server = sums_.begin();
    const LatencySum& sum = server->second;
    numbers.insert(numbers.end(),
                   {server->first, sum.calls, sum.prompt_tokens,
                    sum.milliseconds, sum.pauses, sum.late_pauses});
    next_ = server->first + 1;
    sums_.erase(server);
  }
  return numbers;
}

void LatencyTotals::Sums::Decay(double prefill_factor, double pause_factor) {
  calls *= prefill_factor;
  prompt_tokens *= prefill_factor;
  milliseconds *= prefill_factor;
  pauses *= pause_factor;
  late_pauses *= pause_factor;
}

void LatencyTotals::Sums::Add(const LatencySum& sum) {
  calls += static_cast<double>(sum.calls);
  prompt_tokens += static_cast<double>(sum.prompt_tokens);
  milliseconds += static_cast<double>(sum.milliseconds);
  pauses += static_cast<double>(sum.pauses);
  late_pauses += static_cast<double>(sum.late_pauses);
}

void LatencyTotals::AddFromEntry(const EncodedLatencySums& sums, Time now) {
  Add(sums, now, /*from_entry=*/true);
}

void LatencyTotals::AddFromPeer(const EncodedLatencySums& sums, Time now) {
  Add(sums, now, /*from_entry=*/false);
}

void LatencyTotals::Add(const EncodedLatencySums& sums, Time now,
                        bool from_entry) {
  if (sums.size() % kNumbersPerLatencySum != 0) return;
  for (std::size_t i = 0; i < sums.size(); i += kNumbersPerLatencySum) {
    const LatencySum sum{sums[i + 1], sums[i + 2], sums[i + 3], sums[i + 4],
                         sums[i + 5]};
    const bool is_malformed =
        sums[i] > UINT32_MAX || sum.calls > sum.prompt_tokens ||
        sum.prompt_tokens > kMaxCount || sum.milliseconds > kMaxMilliseconds ||
        sum.pauses > kMaxCount || sum.late_pauses > sum.pauses ||
        (sum.calls == 0) != (sum.prompt_tokens == 0) ||
        (sum.calls == 0 && sum.pauses == 0);
    if (is_malformed) return;
    const auto key = static_cast<ServerKey>(sums[i]);
    if (servers_.size() >= kMaxServers && servers_.count(key) == 0) continue;
    Server& server = servers_[key];
    Decay(server, now);
    server.recent.Add(sum);
    server.sums.Add(sum);
    DetectSlowdown(server);
    if (from_entry) for_peers_.Add(key, sum);
  }
}

void LatencyTotals::DetectSlowdown(Server& server) {
  Sums& known = server.sums;
  const Sums& recent = server.recent;
  // The recent samples are part of both sums.
  if (recent.calls >= kMinSlowdownCalls && known.calls > recent.calls) {
    const double earlier = (known.milliseconds - recent.milliseconds) /
                           (known.prompt_tokens - recent.prompt_tokens);
    if (recent.MillisecondsPerToken() >= kSlowdown * earlier) {
      known.calls = std::max(recent.calls, kMinCalls + 1);
      known.prompt_tokens = recent.prompt_tokens * known.calls / recent.calls;
      known.milliseconds = recent.MillisecondsPerToken() * known.prompt_tokens;
    }
  }
  if (recent.pauses >= kMinSuddenPauses && known.pauses > recent.pauses) {
    const double earlier = (known.late_pauses - recent.late_pauses) /
                           (known.pauses - recent.pauses);
    if (recent.LateShare() >= std::max(kSuddenShare, kSuddenRatio * earlier)) {
      const double weight = std::max(recent.pauses, kMinPauses + 1);
      known.late_pauses = recent.LateShare() * weight;
      known.pauses = weight;
    }
  }
}

void LatencyTotals::Decay(Server& server, Time now) {
  const std::chrono::duration<double> passed = now - server.decayed_at;
  server.decayed_at = now;
  const auto factor = [&](double half_life) {
    return std::exp2(-passed.count() / half_life);
  };
  server.sums.Decay(factor(kHalfLifeSeconds),
                    factor(kLatePauseHalfLifeSeconds));
  const double recent = factor(kRecentHalfLifeSeconds);
  server.recent.Decay(recent, recent);
}

std::uint64_t LatencyTotals::PrefillToPublish(const Server& server) {
  constexpr double kUnitsPerMillisecond =
      1.0 / std::chrono::duration<double, std::milli>(kPrefillUnit).count();
  const std::uint64_t published = server.published.prefill;
  const double min_calls = published == 0 ? kMinCalls : kMinKnownCalls;
  if (server.sums.calls < min_calls) return 0;
  const std::uint64_t current = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::lround(
             server.sums.MillisecondsPerToken() * kUnitsPerMillisecond)));
  return HasChanged(published, current, kPublishedPrefillChange, 0) ? current
                                                                    : published;
}

std::uint64_t LatencyTotals::LateShareToPublish(const Server& server) {
  const std::uint64_t published = server.published.late_share;
  const double min_pauses = published == 0 ? kMinPauses : kMinKnownPauses;
  if (server.sums.pauses < min_pauses) return 0;
  const std::uint64_t current =
      1 + static_cast<std::uint64_t>(
              std::lround(server.sums.LateShare() / kLateShareUnit));
  return HasChanged(published, current, kPublishedShareChange,
                    kPublishedShareUnits)
             ? current
             : published;
}

void LatencyTotals::Publish(Time now) {
  for (auto found = servers_.begin(); found != servers_.end();) {
    Server& server = found->second;
    Decay(server, now);
    const Published current{PrefillToPublish(server),
                            LateShareToPublish(server)};
    if (current.prefill != server.published.prefill ||
        current.late_share != server.published.late_share) {
      by_revision_.erase(server.revision);
      server.published = current;
      server.revision = ++revision_;
      by_revision_[revision_] = found->first;
    }
    const bool is_forgotten = server.sums.calls < kForgottenWeight &&
                              server.sums.pauses < kForgottenWeight;
    if (!is_forgotten) {
      ++found;
      continue;
    }
    by_revision_.erase(server.revision);
    found = servers_.erase(found);
  }
}

EncodedLatencies LatencyTotals::Changes(std::uint64_t& revision,
                                        std::size_t max_servers) const {
  EncodedLatencies numbers;
  auto change = by_revision_.upper_bound(revision);
  for (; change != by_revision_.end() && max_servers > 0;
       ++change, --max_servers) {
    const Published& published = servers_.at(change->second).published;
    numbers.insert(numbers.end(),
                   {change->second, published.prefill, published.late_share});
    revision = change->first;
  }
  return numbers;
}

}  // namespace coltsfootfork
