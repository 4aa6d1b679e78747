#pragma once

#include <cstdint>

#include "coltsfootfork/core/types/ids.h"

namespace coltsfootfork {

// What becomes of one arriving token frame.
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

// Lets the tokens of one generation through, each once and in order.
class StreamSequencer {
 public:
  FrameVerdict Accept(Generation generation, std::uint32_t index);

  // Starts a new generation and fences off all earlier ones. Only allowed
  // while nothing has been forwarded; returns false otherwise.
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
