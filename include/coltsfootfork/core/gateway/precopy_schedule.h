#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Policies that decide what is copied between the full transfer of a migrating
// stream and its stop.

// The stream is stopped without a further transfer.
struct SinglePrecopy {};

// Small transfers copy what was added since the transfer before, until one of
// them was fast. A slow one shows that a link is busy, on which the final
// transfer would queue while the stream is stopped.
struct IterativePrecopy {};

using PrecopyPolicy = std::variant<SinglePrecopy, IterativePrecopy>;

// Accepts "none" and "iterative"; returns nothing for other names.
std::optional<PrecopyPolicy> ParsePrecopyPolicy(const std::string& name);

// What a migrating stream does next.
struct PrecopyStep {
  enum class Action : std::uint8_t {
    // Requests the final transfer, which stops the stream.
    kStop = 0,
    // As kStop, although the links are busy or unknown: there is no time, or no
    // transfer left, for another attempt.
    kStopRegardless,
    // Requests a small transfer after `delay`, while the stream continues.
    kCopyAgain,
  };

  Action action = Action::kStop;
  Duration delay{0};
};

// Decides when a migrating stream whose full transfer is done is stopped.
class PrecopySchedule {
 public:
  // Each small transfer costs bytes on the links that others use as well.
  static constexpr std::uint32_t kMaxSmallTransfers = 4;

  PrecopySchedule() = default;
  // `leave_by` is the time by which the stream must have left its source.
  PrecopySchedule(PrecopyPolicy policy, Time leave_by)
      : policy_(policy), leave_by_(leave_by) {}

  // Returns the next step. Called when the full transfer is done and the stream
  // may be stopped, and after each small transfer.
  PrecopyStep Next(Time now) const;

  // Records a small transfer. A failed one tells nothing about the links, and
  // counts as slow.
  void OnSmallTransfer(Duration duration, bool done);

  std::uint32_t small_transfers() const { return small_transfers_; }
  // Duration of the last small transfer; zero if there was none.
  Duration last_duration() const { return last_duration_; }

 private:
  PrecopyStep NextIterative(Time now) const;

  PrecopyPolicy policy_;
  Time leave_by_;
  std::uint32_t small_transfers_ = 0;
  Duration last_duration_{0};
  bool last_was_fast_ = false;
};

}  // namespace coltsfootfork
