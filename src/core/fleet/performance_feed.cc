#include "coltsfootfork/core/fleet/performance_feed.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kNumbersPerSum = 4;
// More than twice the engines of the largest deployment.
constexpr std::size_t kMaxServers = 2048;
constexpr milliseconds kSampleInterval{500};
constexpr double kHalfLifeSeconds = 10;
// Through noise, 15 percent of the pauses are 2.5 times as long. The mean of
// 200 pauses then has a standard deviation of 3 percent. A known mean remains
// known with fewer: a slow server gets few calls.
constexpr double kMinWeight = 200;
constexpr double kMinKnownWeight = 60;
// A server without samples is forgotten when its sums are this small, about two
// minutes after its mean became unknown: by then all entries have been told.
constexpr double kForgottenWeight = 0.01;
// A slowdown is taken from so many recent pauses with a mean this much above
// the known one. Through noise alone this has a probability below 1e-6.
constexpr double kRecentHalfLifeSeconds = 1;
constexpr double kMinSlowdownEvents = 12;
constexpr double kSlowdown = 1.8;
// Remains above kMinWeight until the next time that means are published.
constexpr double kWeightAfterSlowdown = 250;
// A pause counts as at most this multiple of the stream's preceding mean: a
// single stall, as by another call's prefill, is no slowdown.
constexpr int kMaxPauseRatio = 4;
// Larger than a slowdown to a quarter; a single stall must not count more.
constexpr double kMaxRatio = 5;
// Numbers of one sum that are larger are malformed.
constexpr std::uint64_t kMaxEvents = 1U << 20U;
constexpr std::uint64_t kMaxMilliseconds = 1U << 30U;
// A mean is published again if it changed by this fraction, and by one and a
// half standard deviations.
constexpr double kPublishedChange = 0.05;
constexpr double kDeviationOfOnePause = 0.44;
constexpr double kPublishedDeviations = 1.5;
// All control traffic of a host may take 4 KB a second.
constexpr milliseconds kSendInterval{1000};
constexpr std::size_t kPeerBytesPerSecond = 1000;
constexpr std::size_t kEntryBytesPerSecond = 1500;
// A report of 40 servers takes up to 920 bytes. In large fleets reports are
// shorter, since a control process receives those of many entries.
constexpr std::size_t kMaxReportedServers = 40;
constexpr std::size_t kMinReportedServers = 7;
constexpr std::size_t kFewEntries = 32;
// CBOR needs five bytes for a key and up to three for each other number.
constexpr std::size_t kBytesPerServer = 11;

std::uint64_t InUnits(double pause_ms) {
  constexpr double kUnitsPerMillisecond =
      1.0 / std::chrono::duration<double, std::milli>(kPauseUnit).count();
  return std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(std::lround(
             std::min(pause_ms, static_cast<double>(kMaxMilliseconds)) *
             kUnitsPerMillisecond)));
}

bool HasChanged(std::uint64_t published, std::uint64_t current, double weight) {
  if (published == 0 || current == 0) return published != current;
  const auto before = static_cast<double>(published);
  const double noise =
      kPublishedDeviations * kDeviationOfOnePause / std::sqrt(weight);
  return std::abs(static_cast<double>(current) - before) >
         std::max(kPublishedChange, noise) * before;
}

}  // namespace

OccupancyBand BandOf(std::uint32_t calls, std::uint32_t slots) {
  return 2 * static_cast<std::uint64_t>(calls) >= slots
             ? OccupancyBand::kFromHalf
             : OccupancyBand::kBelowHalf;
}

ServerKey PerformanceKeyOf(const ServerId& server, std::uint64_t incarnation) {
  const std::string text = server.value() + '\n' + std::to_string(incarnation);
  return XXH32(text.data(), text.size(), 0);
}

std::size_t MaxReportedServers(std::uint32_t entries) {
  const std::size_t servers = kMaxReportedServers * kFewEntries /
                              std::max<std::size_t>(entries, kFewEntries);
  return std::max(servers, kMinReportedServers);
}

std::size_t MaxServersForPeers(std::size_t peers) {
  const std::size_t servers =
      kPeerBytesPerSecond /
      (2 * kBytesPerServer * std::max<std::size_t>(peers, 1));
  return std::max<std::size_t>(servers, 1);
}

void PauseCollector::Add(ServerKey server, OccupancyBand band,
                         const PauseSum& sum) {
  if (sums_.size() >= kMaxServers && sums_.count(server) == 0) return;
  PauseSum& total = sums_[server].at(static_cast<std::size_t>(band));
  // Longer without a report means that control is out of reach.
  if (total.events + sum.events > kMaxEvents ||
      total.milliseconds + sum.milliseconds > kMaxMilliseconds) {
    total = PauseSum();
  }
  total.events += sum.events;
  total.milliseconds += sum.milliseconds;
}

EncodedPauseSums PauseCollector::Take(std::size_t max_servers) {
  EncodedPauseSums numbers;
  for (; max_servers > 0 && !sums_.empty(); --max_servers) {
    auto server = sums_.lower_bound(next_);
    if (server == sums_.end()) server = sums_.begin();
    for (std::size_t band = 0; band < kOccupancyBands; ++band) {
      const PauseSum& sum = server->second.at(band);
      if (sum.events == 0) continue;
      numbers.insert(numbers.end(),
                     {server->first, band, sum.events, sum.milliseconds});
    }
    next_ = server->first + 1;
    sums_.erase(server);
  }
  return numbers;
}

std::optional<PauseSum> PauseSampler::OnEvents(std::size_t events, Time now) {
  if (events == 0) return std::nullopt;
  const Time last = std::exchange(last_event_, now);
  if (last == Time()) {
    last_sum_ = now;
    return std::nullopt;
  }
  // Several events in one read had been delayed on their way.
  if (events == 1) {
    ++pauses_;
    const Duration pause = now - last;
    total_ +=
        mean_ > Duration(0) ? std::min(pause, kMaxPauseRatio * mean_) : pause;
  }
  if (pauses_ == 0 || now < last_sum_ + kSampleInterval) return std::nullopt;
  last_sum_ = now;
  mean_ = total_ / static_cast<Duration::rep>(pauses_);
  const auto total = static_cast<std::uint64_t>(
      ToMilliseconds(std::exchange(total_, Duration(0))));
  return PauseSum{std::exchange(pauses_, 0), total};
}

void PerformanceTotals::AddFromEntry(const EncodedPauseSums& sums, Time now) {
  Add(sums, now, /*from_entry=*/true);
}

void PerformanceTotals::AddFromPeer(const EncodedPauseSums& sums, Time now) {
  Add(sums, now, /*from_entry=*/false);
}

void PerformanceTotals::Add(const EncodedPauseSums& sums, Time now,
                            bool from_entry) {
  if (sums.size() % kNumbersPerSum != 0) return;
  for (std::size_t i = 0; i < sums.size(); i += kNumbersPerSum) {
    const std::uint64_t band = sums[i + 1];
    const PauseSum sum{sums[i + 2], sums[i + 3]};
    if (sums[i] > UINT32_MAX || band >= kOccupancyBands || sum.events == 0 ||
        sum.events > kMaxEvents || sum.milliseconds > kMaxMilliseconds) {
      return;
    }
    const auto key = static_cast<ServerKey>(sums[i]);
    if (servers_.size() >= kMaxServers && servers_.count(key) == 0) continue;
    Server& server = servers_[key];
    Decay(server, now);
    Decayed& total = server.sums.at(band);
    const auto events = static_cast<double>(sum.events);
    const double mean = static_cast<double>(sum.milliseconds) / events;
    server.recent.at(band).Add(events, mean);
    const Decayed& recent = server.recent.at(band);
    const bool slowed_down = total.weight >= 1 &&
                             recent.weight >= kMinSlowdownEvents &&
                             recent.Mean() >= kSlowdown * total.Mean();
    if (slowed_down) {
      const double weight =
          std::min(total.weight + events, kWeightAfterSlowdown);
      total = {weight, weight * recent.Mean()};
    } else {
      total.Add(events,
                total.weight < 1
                    ? mean
                    : std::min(mean, kMaxRatio * std::max(total.Mean(), 1.0)));
    }
    if (from_entry) {
      for_peers_.Add(key, static_cast<OccupancyBand>(band), sum);
    }
  }
}

void PerformanceTotals::Decay(Server& server, Time now) {
  const std::chrono::duration<double> passed = now - server.decayed_at;
  server.decayed_at = now;
  const auto decay = [&](auto& sums, double half_life) {
    const double factor = std::exp2(-passed.count() / half_life);
    for (Decayed& sum : sums) {
      sum.weight *= factor;
      sum.milliseconds *= factor;
    }
  };
  decay(server.sums, kHalfLifeSeconds);
  decay(server.recent, kRecentHalfLifeSeconds);
}

EncodedPauseSums PerformanceTotals::TakeForPeers(std::size_t max_servers,
                                                 Time now) {
  if (now < next_for_peers_) return {};
  next_for_peers_ = now + kSendInterval;
  return for_peers_.Take(max_servers);
}

std::size_t PerformanceTotals::Publish(std::size_t entries, Time now) {
  if (now < next_publish_) return 0;
  next_publish_ = now + kSendInterval;
  for (auto found = servers_.begin(); found != servers_.end();) {
    Server& server = found->second;
    Decay(server, now);
    bool changed = false;
    bool is_forgotten = true;
    std::array<std::uint64_t, kOccupancyBands> current{};
    for (std::size_t band = 0; band < kOccupancyBands; ++band) {
      const Decayed& sum = server.sums.at(band);
      is_forgotten = is_forgotten && sum.weight < kForgottenWeight;
      const std::uint64_t published = server.published.at(band);
      const double min_weight = published == 0 ? kMinWeight : kMinKnownWeight;
      if (sum.weight < min_weight) {
        changed = changed || published != 0;
        continue;
      }
      current.at(band) = InUnits(sum.Mean());
      const bool differs = HasChanged(published, current.at(band), sum.weight);
      if (!differs) current.at(band) = published;
      changed = changed || differs;
    }
    if (changed) {
      by_revision_.erase(server.revision);
      server.published = current;
      server.revision = ++revision_;
      by_revision_[revision_] = found->first;
    }
    if (!is_forgotten) {
      ++found;
      continue;
    }
    by_revision_.erase(server.revision);
    found = servers_.erase(found);
  }
  const std::size_t servers =
      kEntryBytesPerSecond /
      (kBytesPerServer * std::max<std::size_t>(entries, 1));
  return std::max<std::size_t>(servers, 1);
}

EncodedPauses PerformanceTotals::Changes(std::uint64_t& revision,
                                         std::size_t max_servers) const {
  EncodedPauses numbers;
  auto change = by_revision_.upper_bound(revision);
  for (; change != by_revision_.end() && max_servers > 0;
       ++change, --max_servers) {
    const Server& server = servers_.at(change->second);
    numbers.push_back(change->second);
    numbers.insert(numbers.end(), server.published.begin(),
                   server.published.end());
    revision = change->first;
  }
  return numbers;
}

}  // namespace coltsfootfork
