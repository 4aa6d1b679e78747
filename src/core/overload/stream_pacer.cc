#include "coltsfootfork/core/overload/stream_pacer.h"

namespace coltsfootfork {

StreamPacer::Action StreamPacer::OnBacklog(std::size_t backlog,
                                           std::size_t allowed, Time now) {
  if (!pause_ends_at_) {
    if (backlog <= allowed) return Action::kRead;
    pause_ends_at_ = now + max_pause_;
    resume_at_bytes_ = backlog / 2;
    return Action::kPause;
  }
  const bool expired = now >= *pause_ends_at_;
  if (backlog <= resume_at_bytes_ || (expired && backlog <= allowed)) {
    pause_ends_at_.reset();
    return Action::kRead;
  }
  return expired ? Action::kEnd : Action::kPause;
}

}  // namespace coltsfootfork
