#pragma once

#include <string>
#include <string_view>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Shortens text from a document for display, without splitting a UTF-8
// character.
std::string Excerpt(std::string_view text);

// Returns the JSON pointer of a member or element of the value at `parent`.
std::string ChildPointer(const std::string& parent, std::string_view key);
std::string ChildPointer(const std::string& parent, std::size_t index);

// Adds findings up to the limit, then one that states that more are omitted.
class BoundedFindings {
 public:
  explicit BoundedFindings(Findings& findings) : findings_(findings) {}

  void Add(const std::string& place, std::string problem);
  bool empty() const { return findings_.empty(); }

 private:
  Findings& findings_;
};

}  // namespace coltsfootfork
