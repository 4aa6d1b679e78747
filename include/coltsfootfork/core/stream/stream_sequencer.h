#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// The decision on one received token frame.
enum class FrameVerdict : std::uint8_t {
  // The next token of the live generation: forward it.
  kForward = 0,
  // The token has been forwarded before.
  kDuplicate,
  // An earlier token is missing.
  kGap,
  // The frame is from a generation that is not the live one.
  kStale,
};

// Filters token frames so that each token of the live generation is forwarded
// once and in order.
class StreamSequencer {
 public:
  FrameVerdict Accept(Generation generation, std::uint32_t index);

  // Starts a new generation; frames of earlier ones become stale. Returns
  // false, and changes nothing, once a token has been forwarded.
  bool StartNextGeneration();

  // The live generation; zero before the first start.
  Generation generation() const { return generation_; }
  // The first index not yet forwarded.
  std::uint32_t next_index() const { return next_index_; }

 private:
  Generation generation_ = 0;
  std::uint32_t next_index_ = 0;
};

}  // namespace coltsfootfork
