#include <algorithm>
#include <cstdio>
#include <vector>

#include "bench/routing/queue_model.h"
#include "bench/routing/reports.h"

namespace coltsfootfork::bench {
namespace {

constexpr std::uint64_t kSeeds = 3;

struct Named {
  const char* name;
  ChoicePolicy policy;
};

struct Lag {
  std::chrono::milliseconds every;
  std::chrono::milliseconds lag;
};

double Quantile(std::vector<double>* values, double part) {
  if (values->empty()) return 0.0;
  const auto place =
      static_cast<std::size_t>(part * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(),
                   values->begin() + static_cast<std::ptrdiff_t>(place),
                   values->end());
  return (*values)[place];
}

ModelResult RunSeeds(const ChoicePolicy& policy, double load, const Lag& lag) {
  ModelResult all;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ModelOptions options;
    options.policy = policy;
    options.seed = seed;
    options.load = load;
    options.report_every = lag.every;
    options.report_lag = lag.lag;
    const ModelResult one = QueueModel(options).Run();
    all.queue_delays.insert(all.queue_delays.end(), one.queue_delays.begin(),
                            one.queue_delays.end());
    all.first_token_times.insert(all.first_token_times.end(),
                                 one.first_token_times.begin(),
                                 one.first_token_times.end());
    all.prompt_tokens += one.prompt_tokens;
    all.reused_tokens += one.reused_tokens;
  }
  return all;
}

void PrintRow(const Named& named, double load, const Lag& lag) {
  ModelResult result = RunSeeds(named.policy, load, lag);
  std::printf(
      "| %.2f | %lld + %lld | %s | %.0f | %.0f | %.0f | %.0f | %.0f "
      "| %.2f |\n",
      load, static_cast<long long>(lag.every.count()),
      static_cast<long long>(lag.lag.count()), named.name,
      Quantile(&result.queue_delays, 0.5), Quantile(&result.queue_delays, 0.95),
      Quantile(&result.queue_delays, 0.99),
      Quantile(&result.first_token_times, 0.5),
      Quantile(&result.first_token_times, 0.95),
      result.reused_tokens / result.prompt_tokens);
  std::fflush(stdout);
}

}  // namespace

void PrintChoiceQuality() {
  const Named policies[] = {{"lowest cost", LowestCostPolicy{}},
                            {"round robin", RoundRobinPolicy{}},
                            {"least outstanding", LeastOutstandingPolicy{}}};
  const Lag lags[] = {
      {std::chrono::milliseconds(200), std::chrono::milliseconds(100)},
      {std::chrono::milliseconds(1000), std::chrono::milliseconds(500)}};
  std::printf("Queue model, seeds 1 to %llu, times in ms\n\n",
              static_cast<unsigned long long>(kSeeds));
  std::printf(
      "| load | report every + lag | policy | queue p50 | p95 | p99 "
      "| first token p50 | p95 | prompt reused |\n");
  std::printf(
      "| ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: "
      "| ---: |\n");
  for (const double load : {0.6, 0.8, 0.9}) {
    for (const Lag& lag : lags) {
      for (const Named& named : policies) PrintRow(named, load, lag);
    }
  }
}

}  // namespace coltsfootfork::bench
