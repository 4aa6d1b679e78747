#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// An engine cuts off a response that stays unread for some seconds; a stream is
// read again, or ended, well before.
inline constexpr std::chrono::milliseconds kDefaultMaxReadPause{1500};

// Decides when a stream whose caller reads slowly is not read from its server,
// and when it is ended. A stream is paused when its backlog exceeds what is
// allowed, until the backlog has halved. If that takes too long, the stream is
// read on if the backlog is within what is allowed by then, since the caller
// makes progress; otherwise it is ended.
class StreamPacer {
 public:
  enum class Action : std::uint8_t { kRead = 0, kPause, kEnd };

  explicit StreamPacer(Duration max_pause = kDefaultMaxReadPause)
      : max_pause_(max_pause) {}

  Action OnBacklog(std::size_t backlog, std::size_t allowed, Time now);

  // When to call OnBacklog at the latest; nullopt if the stream is read.
  std::optional<Time> pause_ends_at() const { return pause_ends_at_; }

 private:
  Duration max_pause_;
  std::optional<Time> pause_ends_at_;
  std::size_t resume_at_bytes_ = 0;
};

}  // namespace coltsfootfork
