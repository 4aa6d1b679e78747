#include "scheduling/records.h"

#include <algorithm>
#include <cmath>

namespace coltsfootfork {
namespace {

double Ratio(std::uint64_t part, std::uint64_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void Samples::Merge(const Samples& other) {
  values_.insert(values_.end(), other.values_.begin(), other.values_.end());
}

double Samples::Quantile(double share) const {
  if (values_.empty()) return 0;
  std::vector<float> sorted = values_;
  const auto last = static_cast<double>(sorted.size() - 1);
  const auto place =
      sorted.begin() + static_cast<std::ptrdiff_t>(std::ceil(share * last));
  std::nth_element(sorted.begin(), place, sorted.end());
  return *place;
}

void GroupRecord::Merge(const GroupRecord& other) {
  offered += other.offered;
  refused += other.refused;
  refused_late += other.refused_late;
  completed += other.completed;
  tokens += other.tokens;
  settled_tokens += other.settled_tokens;
  first_token.Merge(other.first_token);
  gaps.Merge(other.gaps);
  stalled += other.stalled;
}

void RunRecord::Merge(const RunRecord& other) {
  for (std::size_t i = 0; i < kRankCount; ++i) {
    ranks.at(i).Merge(other.ranks.at(i));
  }
  for (const auto& [name, group] : other.workspaces) {
    workspaces[name].Merge(group);
  }
  preemptions += other.preemptions;
  urgent_preemptions += other.urgent_preemptions;
  measured += other.measured;
}

double RunRecord::TokensPerSecond() const {
  std::uint64_t tokens = 0;
  for (const GroupRecord& rank : ranks) tokens += rank.tokens;
  return static_cast<double>(tokens) / measured.count();
}

double RunRecord::TokenShare(Rank rank) const {
  const GroupRecord& group = ranks.at(RankIndex(rank));
  std::uint64_t all = 0;
  for (const GroupRecord& other : ranks) all += other.tokens;
  return Ratio(group.tokens, all);
}

double RunRecord::SettledShare(Rank rank) const {
  const GroupRecord& group = ranks.at(RankIndex(rank));
  std::uint64_t all = 0;
  for (const GroupRecord& other : ranks) all += other.settled_tokens;
  return Ratio(group.settled_tokens, all);
}

}  // namespace coltsfootfork
