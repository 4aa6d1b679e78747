#include "coltsfootfork/core/routing/demand_split.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace coltsfootfork {
namespace {

// Splits one limit into max-min fair parts by demand.
std::vector<std::uint32_t> SplitLimit(std::uint32_t limit,
                                      std::vector<std::uint32_t> wanted) {
  const std::size_t count = wanted.size();
  // Count an idle entry as a demand of one, or its first caller would be
  // refused.
  for (std::uint32_t& amount : wanted) {
    amount = std::max(amount, std::uint32_t{1});
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(
      order.begin(), order.end(),
      [&](std::size_t a, std::size_t b) { return wanted[a] < wanted[b]; });
  std::vector<std::uint32_t> parts(count);
  std::uint32_t remaining = limit;
  for (std::size_t i = 0; i < count; ++i) {
    const auto fair = static_cast<std::uint32_t>(remaining / (count - i));
    parts[order[i]] = std::min(wanted[order[i]], fair);
    remaining -= parts[order[i]];
  }
  for (std::size_t i = 0; i < count; ++i) {
    const auto even = static_cast<std::uint32_t>(remaining / (count - i));
    parts[order[i]] += even;
    remaining -= even;
  }
  return parts;
}

std::vector<std::uint32_t> Wanted(const std::vector<EntryDemand>& demands,
                                  std::uint32_t LimitShare::*field) {
  std::vector<std::uint32_t> wanted;
  wanted.reserve(demands.size());
  for (const EntryDemand& demand : demands) {
    wanted.push_back(demand.wanted.*field);
  }
  return wanted;
}

}  // namespace

std::vector<EntryShare> SplitByDemand(const WorkspaceLimits& limits,
                                      const std::vector<EntryDemand>& demands) {
  const auto requests =
      SplitLimit(limits.requests_per_second,
                 Wanted(demands, &LimitShare::requests_per_second));
  const auto tokens =
      SplitLimit(limits.tokens_per_second,
                 Wanted(demands, &LimitShare::tokens_per_second));
  const auto streams =
      SplitLimit(limits.concurrent_streams,
                 Wanted(demands, &LimitShare::concurrent_streams));
  std::vector<EntryShare> shares;
  shares.reserve(demands.size());
  for (std::size_t i = 0; i < demands.size(); ++i) {
    shares.push_back({demands[i].entry, {requests[i], tokens[i], streams[i]}});
  }
  return shares;
}

}  // namespace coltsfootfork
