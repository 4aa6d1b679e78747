#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "coltsfootfork/core/replay/trace_recorder.h"
#include "coltsfootfork/core/routing/entry_core.h"

namespace coltsfootfork {

// The file that records an entry's decisions.
class TraceFile {
 public:
  // Throws std::runtime_error if the file cannot be opened for writing.
  TraceFile(const std::string& path, const TraceHeader& header);
  // Writes the end marker; a trace without one is truncated.
  ~TraceFile();
  TraceFile(const TraceFile&) = delete;
  TraceFile& operator=(const TraceFile&) = delete;

  TraceRecorder& recorder() { return recorder_; }

 private:
  std::ofstream out_;
  TraceRecorder recorder_;
};

}  // namespace coltsfootfork
