#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/replay/trace_recorder.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

inline constexpr std::uint64_t kTraceVersion = 1;

struct TraceTick {};

// One line of a trace after the header.
struct TraceLine {
  std::uint64_t number = 0;
  Time at;
  std::variant<EntryInput, EntryEffect, TraceTick> content;
};

// Returns the place of a finding in a trace: "line N".
std::string LinePlace(std::uint64_t number);

// Reads a trace line by line. A fault is added to the findings; the caller must
// then stop reading.
class TraceReader {
 public:
  TraceReader(std::istream& in, Findings* findings)
      : in_(in), findings_(findings) {}

  // Must be called first. Returns nullopt after a fault.
  std::optional<TraceHeader> ReadHeader();
  // Returns nullopt at the end of a complete trace and after a fault.
  std::optional<TraceLine> ReadLine();

 private:
  std::optional<nlohmann::json> ReadJsonLine();
  std::optional<TraceLine> Decode(const nlohmann::json& line);
  void CheckEndLine(const nlohmann::json& line);
  void AddFinding(const std::string& problem);

  std::istream& in_;
  Findings* findings_;
  std::uint64_t line_number_ = 0;
  Time previous_time_ = Time::min();
};

}  // namespace coltsfootfork
