#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Buffers lines and writes them to a file descriptor without blocking. Lines
// that do not fit into the buffer are dropped and counted; the count is logged
// as soon as a line fits again.
class LineBuffer {
 public:
  // The descriptor must be non-blocking. With -1, nothing is written and all
  // lines stay in the buffer.
  LineBuffer(int descriptor, std::size_t max_bytes)
      : descriptor_(descriptor), max_bytes_(max_bytes) {}

  // Adds a line, given without its line end.
  void Append(std::string_view line);
  // Writes as many bytes as the descriptor accepts without blocking.
  void Flush();

  std::uint64_t dropped() const { return dropped_; }
  const std::string& pending() const { return pending_; }

 private:
  int descriptor_;
  std::size_t max_bytes_;
  std::string pending_;
  std::uint64_t dropped_ = 0;
  std::uint64_t last_reported_dropped_ = 0;
};

}  // namespace coltsfootfork
