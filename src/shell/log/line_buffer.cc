#include "shell/log/line_buffer.h"

#include <unistd.h>

namespace coltsfootfork {

void LineBuffer::Append(std::string_view line) {
  if (pending_.size() + line.size() + 1 > max_bytes_) {
    ++dropped_;
    return;
  }
  if (dropped_ > last_reported_dropped_) {
    pending_ += "log_lines_dropped total=" + std::to_string(dropped_) + "\n";
    last_reported_dropped_ = dropped_;
  }
  pending_ += line;
  pending_ += '\n';
}

void LineBuffer::Flush() {
  if (descriptor_ < 0) return;
  while (!pending_.empty()) {
    const ssize_t written =
        write(descriptor_, pending_.data(), pending_.size());
    // The pipe is full or its reader has closed it; the next flush retries.
    if (written <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace coltsfootfork
