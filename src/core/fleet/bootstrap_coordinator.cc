#include "coltsfootfork/core/fleet/bootstrap_coordinator.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

// All processes of a first start are up within a fraction of this.
constexpr Duration kHearAll = std::chrono::milliseconds(1500);
// After this the round goes on without a seed that was never heard.
constexpr Duration kWaitForSeeds = std::chrono::milliseconds(4000);

}  // namespace

BootstrapCoordinator::BootstrapCoordinator(
    std::string self, const std::vector<std::string>& seeds, Time start)
    : self_(std::move(self)), seeds_(seeds), start_(start) {}

std::vector<std::string> BootstrapCoordinator::Decide(
    bool self_may_found, const std::map<std::string, ControlDigest>& heard,
    Time now) {
  if (!founders_.empty()) return founders_;
  for (const auto& [address, digest] : heard) {
    // A group is there, or another process has decided.
    if (!digest.voters.empty()) return {};
    if (!digest.founders.empty()) return founders_ = digest.founders;
  }
  const auto first = std::min_element(seeds_.begin(), seeds_.end());
  if (first == seeds_.end() || *first != self_) return {};
  const bool heard_seeds =
      std::all_of(seeds_.begin(), seeds_.end(), [&](const std::string& seed) {
        return seed == self_ || heard.count(seed) != 0;
      });
  if (now < start_ + (heard_seeds ? kHearAll : kWaitForSeeds)) return {};
  if (self_may_found) founders_.push_back(self_);
  for (const auto& [address, digest] : heard) {
    if (digest.may_found) founders_.push_back(address);
  }
  std::sort(founders_.begin(), founders_.end());
  return founders_;
}

}  // namespace coltsfootfork
