#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "coltsfootfork/core/replay/trace_recorder.h"
#include "coltsfootfork/core/routing/entry_core.h"

namespace coltsfootfork {

// The file that an entry's decisions are recorded to.
class TraceFile {
 public:
  // Throws std::runtime_error when the file cannot be written.
  TraceFile(const std::string& path, const TraceHeader& header);
  // Ends the trace: one without its end is a cut one.
  ~TraceFile();
  TraceFile(const TraceFile&) = delete;
  TraceFile& operator=(const TraceFile&) = delete;

  TraceRecorder& recorder() { return recorder_; }

 private:
  std::ofstream out_;
  TraceRecorder recorder_;
};

}  // namespace coltsfootfork
