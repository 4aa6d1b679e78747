#include "coltsfootfork/core/fleet/control_selector.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace coltsfootfork {
namespace {

// A restarting process is back within the initial backoff; the maximum limits
// connection attempts to a partitioned process.
constexpr Duration kInitialBackoff = std::chrono::seconds(1);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);

}  // namespace

void ControlSelector::AddCandidate(const std::string& address) {
  candidates_.try_emplace(address);
}

void ControlSelector::AddCandidate(const std::string& address,
                                   const ControlProcessInfo& info) {
  candidates_[address].info = info;
}

void ControlSelector::OnUnhealthy(const std::string& address, Time now) {
  Candidate& candidate = candidates_[address];
  candidate.backoff = candidate.backoff == Duration(0)
                          ? kInitialBackoff
                          : std::min(2 * candidate.backoff, kMaxBackoff);
  candidate.backoff_until = now + candidate.backoff;
}

void ControlSelector::OnHealthy(const std::string& address) {
  candidates_[address].backoff = Duration(0);
}

int ControlSelector::PenaltyOf(Role role, const Candidate& candidate) const {
  const bool same_zone = candidate.info.zone == zone_;
  const bool matches_role = (role == Role::kSameZone) == same_zone;
  return (candidate.info.has_disk ? 0 : 2) + (matches_role ? 0 : 1);
}

std::string ControlSelector::Choose(Role role, const std::string& excluded,
                                    Time now) {
  std::vector<std::string> best;
  int lowest_penalty = std::numeric_limits<int>::max();
  for (const auto& [address, candidate] : candidates_) {
    if (now < candidate.backoff_until || address == excluded) continue;
    const int penalty = PenaltyOf(role, candidate);
    if (penalty > lowest_penalty) continue;
    if (penalty < lowest_penalty) best.clear();
    lowest_penalty = penalty;
    best.push_back(address);
  }
  if (best.empty()) return {};
  std::uniform_int_distribution<std::size_t> index(0, best.size() - 1);
  return best[index(random_)];
}

bool ControlSelector::HasBetterCandidate(Role role, const std::string& current,
                                         const std::string& excluded,
                                         Time now) const {
  const auto found = candidates_.find(current);
  if (found == candidates_.end()) return true;
  const int penalty = PenaltyOf(role, found->second);
  return std::any_of(candidates_.begin(), candidates_.end(),
                     [&](const auto& candidate) {
                       return candidate.first != excluded &&
                              now >= candidate.second.backoff_until &&
                              PenaltyOf(role, candidate.second) < penalty;
                     });
}

}  // namespace coltsfootfork
