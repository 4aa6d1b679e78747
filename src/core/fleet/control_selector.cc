#include "coltsfootfork/core/fleet/control_selector.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace coltsfootfork {
namespace {

// The first and the longest time for which a process that was left is passed
// over: one that restarts is back within the first, one that is cut off is not
// asked again and again.
constexpr Duration kFirstPassOver = std::chrono::seconds(1);
constexpr Duration kLongestPassOver = std::chrono::seconds(8);

}  // namespace

void ControlSelector::Know(const std::string& address) {
  known_.try_emplace(address);
}

void ControlSelector::Know(const std::string& address,
                           const ControlProcessInfo& place) {
  known_[address].place = place;
}

void ControlSelector::OnLeft(const std::string& address, Time now) {
  Known& known = known_[address];
  known.pass_over = known.pass_over == Duration(0)
                        ? kFirstPassOver
                        : std::min(2 * known.pass_over, kLongestPassOver);
  known.pass_over_until = now + known.pass_over;
}

void ControlSelector::OnGood(const std::string& address) {
  known_[address].pass_over = Duration(0);
}

int ControlSelector::RankOf(Role role, const Known& known) const {
  const bool near = known.place.zone == zone_;
  const bool fits = (role == Role::kNear) == near;
  return (known.place.has_disk ? 0 : 2) + (fits ? 0 : 1);
}

std::string ControlSelector::Choose(Role role, const std::string& taken,
                                    Time now) {
  std::vector<std::string> best;
  int best_rank = std::numeric_limits<int>::max();
  for (const auto& [address, known] : known_) {
    if (now < known.pass_over_until || address == taken) continue;
    const int rank = RankOf(role, known);
    if (rank > best_rank) continue;
    if (rank < best_rank) best.clear();
    best_rank = rank;
    best.push_back(address);
  }
  if (best.empty()) return {};
  std::uniform_int_distribution<std::size_t> lot(0, best.size() - 1);
  return best[lot(random_)];
}

bool ControlSelector::HasBetter(Role role, const std::string& held,
                                const std::string& taken, Time now) const {
  const auto found = known_.find(held);
  if (found == known_.end()) return true;
  const int rank = RankOf(role, found->second);
  return std::any_of(known_.begin(), known_.end(), [&](const auto& one) {
    return one.first != taken && now >= one.second.pass_over_until &&
           RankOf(role, one.second) < rank;
  });
}

}  // namespace coltsfootfork
