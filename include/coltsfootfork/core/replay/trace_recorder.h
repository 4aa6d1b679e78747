#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The parameters that a replay needs before the first input.
struct TraceHeader {
  EntryOptions options;
  std::uint64_t seed = 0;
  // The trace contains bodies and token texts in full; if false, it contains
  // only their length and digest.
  bool whole_bodies = false;
};

// Records the inputs and effects of an entry's decision core as JSON lines in
// `out`, for a later replay.
class TraceRecorder {
 public:
  // Writes the header line.
  TraceRecorder(std::ostream& out, const TraceHeader& header);

  // Each records one call of EntryCore::Handle or EntryCore::Tick with its
  // effects. Ticks with no work due need not be recorded.
  void OnInput(const EntryInput& input, const std::vector<EntryEffect>& effects,
               Time now);
  void OnTick(const std::vector<EntryEffect>& effects, Time now);

  // Writes the end line, which lets readers detect a truncated trace.
  void Finish();

 private:
  void WriteEffects(const std::vector<EntryEffect>& effects, Time now);

  std::ostream& out_;
  bool whole_bodies_;
  std::uint64_t line_count_ = 1;
};

}  // namespace coltsfootfork
