#include "scheduling/workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace coltsfootfork {
namespace {

std::uint32_t Draw(const LengthShape& shape, std::mt19937_64& random) {
  std::lognormal_distribution<double> length(std::log(shape.median),
                                             shape.sigma);
  const double drawn =
      std::clamp(length(random), 1.0, static_cast<double>(shape.most));
  return static_cast<std::uint32_t>(drawn);
}

void AddStream(const Stream& stream, std::size_t number, std::uint64_t seed,
               std::vector<Arrival>& arrivals) {
  std::mt19937_64 random(seed * 1000 + number);
  const double rate = stream.tokens_per_second / stream.output.Mean();
  if (rate <= 0) return;
  std::exponential_distribution<double> gap(rate);
  std::chrono::duration<double> at = stream.from;
  std::uint32_t count = 0;
  while (true) {
    at += std::chrono::duration<double>(gap(random));
    if (at >= stream.to) return;
    Arrival arrival;
    arrival.at = Time(std::chrono::duration_cast<Duration>(at));
    arrival.output_tokens = Draw(stream.output, random);
    Dispatch& dispatch = arrival.dispatch;
    dispatch.request =
        RequestId(std::to_string(number) + "-" + std::to_string(count++));
    dispatch.workspace = WorkspaceId(stream.workspace);
    dispatch.service = ServiceId("model");
    dispatch.rank = stream.rank;
    dispatch.prompt_tokens = Draw(stream.prompt, random);
    dispatch.start_within = stream.start_within;
    arrivals.push_back(std::move(arrival));
  }
}

}  // namespace

double LengthShape::Mean() const {
  // Of the uncapped distribution: caps are far out in the tail.
  return median * std::exp(sigma * sigma / 2);
}

std::vector<Arrival> MakeArrivals(const std::vector<Stream>& streams,
                                  std::uint64_t seed) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    AddStream(streams[i], i, seed, arrivals);
  }
  std::stable_sort(
      arrivals.begin(), arrivals.end(),
      [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace coltsfootfork
