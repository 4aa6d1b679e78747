#pragma once

#include <string>
#include <string_view>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Text from a document, short enough to be shown and cut only between
// characters of its UTF-8.
std::string Excerpt(std::string_view text);

// The pointer of a member or element below another pointer.
std::string ChildPointer(const std::string& parent, std::string_view key);
std::string ChildPointer(const std::string& parent, std::size_t index);

// Adds findings up to the limit, then one that says that more are left out.
class BoundedFindings {
 public:
  explicit BoundedFindings(Findings& findings) : findings_(findings) {}

  void Add(const std::string& place, std::string problem);
  bool empty() const { return findings_.empty(); }

 private:
  Findings& findings_;
};

}  // namespace coltsfootfork
