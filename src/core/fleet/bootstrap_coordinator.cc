#include "coltsfootfork/core/fleet/bootstrap_coordinator.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

// The processes of a first start are all up well within this time.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(1500);
// After this time, seeds that sent no digest are ignored.
constexpr Duration kSeedTimeout = std::chrono::milliseconds(4000);

}  // namespace

BootstrapCoordinator::BootstrapCoordinator(
    std::string self, const std::vector<std::string>& seeds, Time start)
    : self_(std::move(self)), seeds_(seeds), start_(start) {}

std::vector<std::string> BootstrapCoordinator::Decide(
    bool self_can_bootstrap,
    const std::map<std::string, ControlDigest>& digests, Time now) {
  if (!bootstrap_voters_.empty()) return bootstrap_voters_;
  for (const auto& [address, digest] : digests) {
    // A group exists already, or another process has decided.
    if (!digest.voters.empty()) return {};
    if (!digest.bootstrap_voters.empty()) {
      return bootstrap_voters_ = digest.bootstrap_voters;
    }
  }
  const auto coordinator = std::min_element(seeds_.begin(), seeds_.end());
  if (coordinator == seeds_.end() || *coordinator != self_) return {};
  const bool has_all_seeds =
      std::all_of(seeds_.begin(), seeds_.end(), [&](const std::string& seed) {
        return seed == self_ || digests.count(seed) != 0;
      });
  if (now < start_ + (has_all_seeds ? kDiscoveryTime : kSeedTimeout)) return {};
  if (self_can_bootstrap) bootstrap_voters_.push_back(self_);
  for (const auto& [address, digest] : digests) {
    if (digest.can_bootstrap) bootstrap_voters_.push_back(address);
  }
  std::sort(bootstrap_voters_.begin(), bootstrap_voters_.end());
  return bootstrap_voters_;
}

}  // namespace coltsfootfork
