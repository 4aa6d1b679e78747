#include "coltsfootfork/core/gateway/move_schedule.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kMicrosecondsPerMegabit = 1e6;
constexpr double kBitsPerMegabit = 1e6;
// For the second, short copy and the calls around both.
constexpr Duration kEachMove = std::chrono::milliseconds(12);

Duration CopyTime(std::uint64_t tokens, const EngineProfile& engine) {
  if (engine.link_megabits <= 0) return Duration(0);
  const double megabits = static_cast<double>(tokens) *
                          static_cast<double>(engine.bytes_per_token) *
                          kBitsPerByte / kBitsPerMegabit;
  return Duration(static_cast<std::int64_t>(megabits / engine.link_megabits *
                                            kMicrosecondsPerMegabit));
}

}  // namespace

MoveSchedule::MoveSchedule(std::vector<RunningCall> running,
                           const EngineProfile& engine) {
  std::sort(running.begin(), running.end(),
            [](const RunningCall& a, const RunningCall& b) {
              return a.tokens != b.tokens ? a.tokens < b.tokens : a.id < b.id;
            });
  for (const RunningCall& call : running) {
    turns_[call.id] = end_;
    end_ += CopyTime(call.tokens, engine) + kEachMove;
  }
}

Duration MoveSchedule::TurnOf(const RequestId& id) const {
  const auto found = turns_.find(id);
  return found == turns_.end() ? end_ : found->second;
}

}  // namespace coltsfootfork
