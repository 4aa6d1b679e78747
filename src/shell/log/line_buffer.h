#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Lines on their way to a descriptor. Writing never blocks: lines that find no
// room are dropped and counted, and the count is written once there is room.
class LineBuffer {
 public:
  // The descriptor must be non-blocking; -1 keeps everything in the buffer.
  LineBuffer(int descriptor, std::size_t max_bytes)
      : descriptor_(descriptor), max_bytes_(max_bytes) {}

  // Adds a line without its end.
  void Append(std::string_view line);
  // Writes as much as the descriptor takes now.
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
