#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Samples of one quantity.
class Samples {
 public:
  void Add(Duration value) {
    values_.push_back(static_cast<float>(value.count()) / 1000.0F);
  }
  void Merge(const Samples& other);
  // The value in milliseconds below which the share of the samples lies; zero
  // without samples.
  double Quantile(double share) const;
  std::size_t size() const { return values_.size(); }

 private:
  std::vector<float> values_;
};

// What one group of requests got.
struct GroupRecord {
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  // Refused after a wait, not at once.
  std::uint64_t refused_late = 0;
  std::uint64_t completed = 0;
  std::uint64_t tokens = 0;
  // Tokens made once streams from before the measurement have mostly ended.
  std::uint64_t settled_tokens = 0;
  Samples first_token;
  Samples gaps;
  // Time by which gaps were longer than kStall.
  Duration stalled{0};

  void Merge(const GroupRecord& other);
};

// A gap between tokens that a reader notices.
inline constexpr std::chrono::milliseconds kStall{100};

// How long streams from before the measurement colour the shares of ranks.
inline constexpr std::chrono::seconds kSettling{60};

// What one simulation measured after its warm-up.
struct RunRecord {
  std::array<GroupRecord, kRankCount> ranks;
  std::map<std::string, GroupRecord> workspaces;
  std::uint64_t preemptions = 0;
  std::uint64_t urgent_preemptions = 0;
  std::chrono::duration<double> measured{0};

  void Merge(const RunRecord& other);
  double TokensPerSecond() const;
  double TokenShare(Rank rank) const;
  double SettledShare(Rank rank) const;
};

}  // namespace coltsfootfork
