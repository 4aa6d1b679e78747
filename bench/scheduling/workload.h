#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/request_messages.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// A log-normal distribution of lengths in tokens.
struct LengthShape {
  double median = 100;
  double sigma = 1.0;
  std::uint32_t most = 8192;

  double Mean() const;
};

// The requests of one workspace and rank, arriving at random.
struct Stream {
  std::string workspace;
  Rank rank = Rank::kUrgent;
  // Output tokens asked for in a second, on average.
  double tokens_per_second = 0;
  LengthShape prompt;
  LengthShape output;
  std::chrono::milliseconds start_within{1500};
  std::chrono::seconds from{0};
  std::chrono::seconds to{0};
};

struct Arrival {
  Time at;
  Dispatch dispatch;
  // Unknown to the agent.
  std::uint32_t output_tokens = 0;
};

// The arrivals of all streams in order of time. The same seed gives the same.
std::vector<Arrival> MakeArrivals(const std::vector<Stream>& streams,
                                  std::uint64_t seed);

}  // namespace coltsfootfork
