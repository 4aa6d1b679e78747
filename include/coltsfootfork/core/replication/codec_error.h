#pragma once

#include <string>

namespace coltsfootfork {

// Describes the first decoding fault in a message, log record or snapshot.
struct CodecError {
  // JSON pointer to the faulty field; empty for the whole document.
  std::string place;
  std::string problem;
};

}  // namespace coltsfootfork
