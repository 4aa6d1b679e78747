#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootfork {

// How certain it is that a finding is a mistake.
enum class Severity : std::uint8_t {
  // The document is refused, or a part of it cannot work as written.
  kError = 0,
  // A part of the document may be intended, but is more often a mistake.
  kWarning,
};

// One fault in a validated document, with its location.
struct Finding {
  // A JSON pointer (RFC 6901) into the document, or "line N" of a file.
  std::string place;
  std::string problem;
  Severity severity = Severity::kError;

  friend bool operator==(const Finding& a, const Finding& b) {
    return a.place == b.place && a.problem == b.problem &&
           a.severity == b.severity;
  }
};

// Collects the findings of one document so that they are reported together.
class Findings {
 public:
  void Add(std::string place, std::string problem,
           Severity severity = Severity::kError) {
    list_.push_back({std::move(place), std::move(problem), severity});
  }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  // One line per finding: "PLACE: PROBLEM", or "PLACE: warning: PROBLEM".
  std::string ToText() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace coltsfootfork
