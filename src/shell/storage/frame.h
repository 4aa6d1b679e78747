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
// The header checksum distinguishes a corrupted length from a payload that was
// not written completely.
namespace coltsfootfork {

inline constexpr std::size_t kFrameHeaderBytes = 16;

std::string EncodeFrame(std::string_view payload);

// A complete frame whose checksums match.
struct ValidFrame {
  std::string_view payload;
  // Offset of the next frame.
  std::size_t next = 0;
};

// The bytes at the offset are not a valid frame.
struct InvalidFrame {
  // True if a valid frame follows at any later offset. The invalid frame was
  // then synced once and is corrupted, rather than a torn tail.
  bool valid_frame_follows = false;
};

// Reads the frame at the offset, which must be less than the file size.
std::variant<ValidFrame, InvalidFrame> ReadFrame(std::string_view file,
                                                 std::size_t offset);

}  // namespace coltsfootfork
