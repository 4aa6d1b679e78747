#include "coltsfootfork/core/gateway/migration_schedule.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kMicrosecondsPerMegabit = 1e6;
constexpr double kBitsPerMegabit = 1e6;
// For the calls around a copy.
constexpr Duration kEachCopy = std::chrono::milliseconds(4);
// For a stop: the copy of what was made meanwhile, and the calls around it.
constexpr Duration kEachStop = std::chrono::milliseconds(8);

// The shortest notice that engines give, less the way of the notice and of the
// last move.
constexpr Duration kUsedNotice = std::chrono::milliseconds(1300);
// A copy to another zone takes twice the time.
constexpr double kMostStretch = 2.0;

Duration CopyTime(std::uint64_t tokens, const EngineProfile& engine) {
  if (engine.link_megabits <= 0) return Duration(0);
  const double megabits = static_cast<double>(tokens) *
                          static_cast<double>(engine.bytes_per_token) *
                          kBitsPerByte / kBitsPerMegabit;
  return Duration(static_cast<std::int64_t>(megabits / engine.link_megabits *
                                            kMicrosecondsPerMegabit));
}

// By how much turns are spread where there is time: copies take longer to
// another zone, or over a link that others use too.
double StretchOf(Duration copies, Duration notice) {
  if (copies <= Duration(0)) return 1;
  const double room = std::chrono::duration<double>(notice).count() /
                      std::chrono::duration<double>(copies).count();
  return std::clamp(room, 1.0, kMostStretch);
}

Duration Stretched(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

MigrationSchedule::MigrationSchedule(std::vector<RunningCall> running,
                                     const EngineProfile& engine) {
  std::sort(running.begin(), running.end(),
            [](const RunningCall& a, const RunningCall& b) {
              return a.tokens != b.tokens ? a.tokens < b.tokens : a.id < b.id;
            });
  std::vector<Duration> begins;
  Duration copied{0};
  Duration notice = kUsedNotice;
  for (const RunningCall& call : running) {
    const Duration copy = CopyTime(call.tokens, engine) + kEachCopy;
    if (copied + copy > notice - kEachStop) break;
    begins.push_back(copied);
    copied += copy;
    notice -= kEachStop;
  }
  // Where not all fit there is no time to spread them.
  const bool all_fit = begins.size() == running.size();
  const double factor = all_fit ? StretchOf(copied, notice) : 1;
  end_ = Stretched(copied, factor);
  for (std::size_t i = 0; i < begins.size(); ++i) {
    turns_[running[i].id] = {Stretched(begins[i], factor), end_};
    end_ += kEachStop;
  }
  for (std::size_t i = begins.size(); i < running.size(); ++i) {
    turns_[running[i].id] = {end_, end_};
    end_ += CopyTime(running[i].tokens, engine) + kEachCopy + kEachStop;
  }
}

Duration MigrationSchedule::CopyStartOf(const RequestId& id) const {
  const auto found = turns_.find(id);
  return found == turns_.end() ? end_ : found->second.copy;
}

Duration MigrationSchedule::StopTimeOf(const RequestId& id) const {
  const auto found = turns_.find(id);
  return found == turns_.end() ? end_ : found->second.stop;
}

}  // namespace coltsfootfork
