#include "coltsfootfork/core/stream/stream_sequencer.h"

namespace coltsfootfork {

FrameVerdict StreamSequencer::Accept(Generation generation,
                                     std::uint32_t index) {
  if (generation != generation_) return FrameVerdict::kStale;
  if (index < next_index_) return FrameVerdict::kDuplicate;
  if (index > next_index_) return FrameVerdict::kGap;
  ++next_index_;
  return FrameVerdict::kForward;
}

bool StreamSequencer::StartNextGeneration() {
  if (next_index_ > 0) return false;
  ++generation_;
  return true;
}

}  // namespace coltsfootfork
