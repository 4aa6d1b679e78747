#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

// A frame is a record with its length and checksums. Little-endian layout:
//   magic (4), payload length (4), CRC-32C of those eight bytes and of the
//   payload (4 each), payload.
// The checksum of the header tells a length that was damaged from a payload
// that was not written to its end.
namespace coltsfootfork {

inline constexpr std::size_t kFrameHeaderBytes = 16;

std::string EncodeFrame(std::string_view payload);

// A whole frame with its payload.
struct ValidFrame {
  std::string_view payload;
  // Where the next frame begins.
  std::size_t next = 0;
};

// The bytes at the offset are no whole frame.
struct InvalidFrame {
  // Whether a whole frame follows anywhere later: then this one was once
  // synced and is damaged, and no torn tail.
  bool valid_frame_follows = false;
};

// Reads the frame at the offset, which must lie before the end.
std::variant<ValidFrame, InvalidFrame> ReadFrame(std::string_view file,
                                                 std::size_t offset);

}  // namespace coltsfootfork
