#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace coltsfootfork::standin {

// How the stand-in behaves. A count of zero switches its fault off.
struct StandinOptions {
  std::vector<std::string> agents;
  std::string listen;
  std::string server;
  std::set<std::string> services;
  std::string zone;
  std::chrono::microseconds token_interval{0};
  std::chrono::microseconds prefill_per_token{0};
  std::chrono::milliseconds late{0};
  std::chrono::milliseconds load_lag{0};
  std::uint64_t memory_tokens = 0;
  std::uint32_t max_batch = 0;
  std::uint32_t default_tokens = 0;
  bool can_resume = true;
  bool checks_fence = false;
  std::uint32_t event_gap_every = 0;
  std::uint32_t silent_after = 0;
  std::uint32_t refuse_every = 0;
};

// The options of the command line; exits with a message on a bad one.
StandinOptions ParseOptions(int argc, char** argv);

}  // namespace coltsfootfork::standin
