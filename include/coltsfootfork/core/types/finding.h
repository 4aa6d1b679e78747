#pragma once

#include <string>
#include <utility>
#include <vector>

namespace coltsfootfork {

// One error in a validated document, with its location.
struct Finding {
  // A JSON pointer (RFC 6901) into the document, or "line N" of a file.
  std::string place;
  std::string problem;

  friend bool operator==(const Finding& a, const Finding& b) {
    return a.place == b.place && a.problem == b.problem;
  }
};

// Collects the findings of one document so that they are reported together.
class Findings {
 public:
  void Add(std::string place, std::string problem) {
    list_.push_back({std::move(place), std::move(problem)});
  }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  // One line per finding: "PLACE: PROBLEM".
  std::string ToText() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace coltsfootfork
