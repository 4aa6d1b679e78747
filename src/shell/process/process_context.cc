#include "shell/process/process_context.h"

#include <chrono>

namespace coltsfootfork {

Time MonotonicNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace coltsfootfork
