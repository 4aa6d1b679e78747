#include "shell/storage/frame.h"

#include <boost/crc.hpp>

namespace coltsfootfork {
namespace {

constexpr std::uint32_t kMagic = 0x31464643;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kHeaderCrcOffset = 8;
constexpr std::size_t kPayloadCrcOffset = 12;

// CRC-32C (Castagnoli).
using Crc32c =
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

std::uint32_t ChecksumOf(std::string_view bytes) {
  Crc32c crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void AppendNumber(std::string& bytes, std::uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8) {
    bytes.push_back(static_cast<char>((value >> shift) & 0xFFU));
  }
}

std::uint32_t NumberAt(std::string_view bytes, std::size_t offset) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[offset + i]);
    value |= static_cast<std::uint32_t>(byte) << (8 * i);
  }
  return value;
}

std::optional<ValidFrame> ValidFrameAt(std::string_view file,
                                       std::size_t offset) {
  if (file.size() - offset < kFrameHeaderBytes) return std::nullopt;
  const std::string_view header = file.substr(offset, kFrameHeaderBytes);
  if (NumberAt(header, 0) != kMagic) return std::nullopt;
  const std::uint32_t header_crc =
      ChecksumOf(header.substr(0, kHeaderCrcOffset));
  if (NumberAt(header, kHeaderCrcOffset) != header_crc) return std::nullopt;
  const std::size_t length = NumberAt(header, kLengthOffset);
  const std::size_t begin = offset + kFrameHeaderBytes;
  if (file.size() - begin < length) return std::nullopt;
  const std::string_view payload = file.substr(begin, length);
  if (NumberAt(header, kPayloadCrcOffset) != ChecksumOf(payload)) {
    return std::nullopt;
  }
  return ValidFrame{payload, begin + length};
}

}  // namespace

std::string EncodeFrame(std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  AppendNumber(frame, kMagic);
  AppendNumber(frame, static_cast<std::uint32_t>(payload.size()));
  AppendNumber(frame, ChecksumOf(frame));
  AppendNumber(frame, ChecksumOf(payload));
  frame.append(payload);
  return frame;
}

std::variant<ValidFrame, InvalidFrame> ReadFrame(std::string_view file,
                                                 std::size_t offset) {
  if (const auto frame = ValidFrameAt(file, offset)) return *frame;
  std::string magic;
  AppendNumber(magic, kMagic);
  std::size_t at = file.find(magic, offset + 1);
  while (at != std::string_view::npos) {
    if (ValidFrameAt(file, at)) return InvalidFrame{true};
    at = file.find(magic, at + 1);
  }
  return InvalidFrame{false};
}

}  // namespace coltsfootfork
