#pragma once

#include <string>

namespace coltsfootfork {

// Why bytes could not be decoded.
struct CodecError {
  // The field, as a JSON pointer into the decoded document.
  std::string place;
  std::string problem;
};

}  // namespace coltsfootfork
