#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/routing/entry_options.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What a replay needs to know before the first input.
struct TraceHeader {
  EntryOptions options;
  std::uint64_t seed = 0;
  // Bodies and token texts stand in the trace as they are; otherwise only
  // their length and digest do.
  bool whole_bodies = false;
};

// Writes what an entry's decision core takes in and what follows from it, as
// JSON lines. The writer of the stream decides where they go.
class TraceRecorder {
 public:
  // Writes the header line.
  TraceRecorder(std::ostream& out, const TraceHeader& header);

  // One call of EntryCore::Handle or EntryCore::Tick with its effects. Ticks
  // that found nothing due need not be recorded.
  void OnInput(const EntryInput& input, const std::vector<EntryEffect>& effects,
               Time now);
  void OnTick(const std::vector<EntryEffect>& effects, Time now);

  // Writes the last line, which tells a whole trace from a cut one.
  void Finish();

 private:
  void WriteEffects(const std::vector<EntryEffect>& effects, Time now);

  std::ostream& out_;
  bool whole_bodies_;
  std::uint64_t line_count_ = 1;
};

}  // namespace coltsfootfork
