#include "coltsfootfork/core/gateway/migration_schedule.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

constexpr double kBitsPerByte = 8;
constexpr double kMicrosecondsPerMegabit = 1e6;
constexpr double kBitsPerMegabit = 1e6;
// Requests before and after a full transfer.
constexpr Duration kCopyOverhead = std::chrono::milliseconds(4);
// A stop: the transfer of the KV cache added since the full transfer, and the
// requests before and after it.
constexpr Duration kStopTime = std::chrono::milliseconds(8);

// Time for small transfers that are repeated. In the simulation of
// precopy_schedule_test, more streams outlasted the notice with 100 ms, and
// more stops were long on busy links with 250 ms, which leave less time between
// the full transfers.
constexpr Duration kTimeForRepeats = std::chrono::milliseconds(150);
// A transfer to another zone takes twice as long.
constexpr double kMaxStretch = 2.0;

Duration CopyTime(std::uint64_t tokens, const EngineProfile& engine) {
  if (engine.link_megabits <= 0) return Duration(0);
  const double megabits = static_cast<double>(tokens) *
                          static_cast<double>(engine.bytes_per_token) *
                          kBitsPerByte / kBitsPerMegabit;
  return Duration(static_cast<std::int64_t>(megabits / engine.link_megabits *
                                            kMicrosecondsPerMegabit));
}

// Returns the factor by which the schedule is stretched if the notice allows:
// transfers take longer to another zone or over a shared link.
double StretchFactor(Duration total_copy_time, Duration remaining_notice) {
  if (total_copy_time <= Duration(0)) return 1;
  const double ratio = std::chrono::duration<double>(remaining_notice).count() /
                       std::chrono::duration<double>(total_copy_time).count();
  return std::clamp(ratio, 1.0, kMaxStretch);
}

Duration ScaleDuration(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

MigrationSchedule::MigrationSchedule(std::vector<RunningCall> running,
                                     const EngineProfile& engine,
                                     const PrecopyPolicy& precopy) {
  std::sort(running.begin(), running.end(),
            [](const RunningCall& a, const RunningCall& b) {
              return a.tokens != b.tokens ? a.tokens < b.tokens : a.id < b.id;
            });
  std::vector<Duration> copy_starts;
  Duration total_copy_time{0};
  Duration remaining_notice = kUsableNotice;
  for (const RunningCall& call : running) {
    const Duration copy = CopyTime(call.tokens, engine) + kCopyOverhead;
    if (total_copy_time + copy > remaining_notice - kStopTime) break;
    copy_starts.push_back(total_copy_time);
    total_copy_time += copy;
    remaining_notice -= kStopTime;
  }
  // If not all transfers fit, there is no time to stretch the schedule.
  const bool all_fit = copy_starts.size() == running.size();
  if (std::holds_alternative<IterativePrecopy>(precopy)) {
    remaining_notice -= kTimeForRepeats;
  }
  const double stretch =
      all_fit ? StretchFactor(total_copy_time, remaining_notice) : 1;
  end_of_schedule_ = ScaleDuration(total_copy_time, stretch);
  for (std::size_t i = 0; i < copy_starts.size(); ++i) {
    times_[running[i].id] = {ScaleDuration(copy_starts[i], stretch),
                             end_of_schedule_};
    end_of_schedule_ += kStopTime;
  }
  for (std::size_t i = copy_starts.size(); i < running.size(); ++i) {
    times_[running[i].id] = {end_of_schedule_, end_of_schedule_};
    end_of_schedule_ +=
        CopyTime(running[i].tokens, engine) + kCopyOverhead + kStopTime;
  }
}

Duration MigrationSchedule::CopyStartOf(const RequestId& id) const {
  const auto found = times_.find(id);
  return found == times_.end() ? end_of_schedule_ : found->second.copy_start;
}

Duration MigrationSchedule::StopTimeOf(const RequestId& id) const {
  const auto found = times_.find(id);
  return found == times_.end() ? end_of_schedule_ : found->second.stop;
}

}  // namespace coltsfootfork
