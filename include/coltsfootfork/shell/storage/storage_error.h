#pragma once

#include <string>

namespace coltsfootfork {

// Why the data folder cannot be used.
struct StorageError {
  // The file, and where it matters the offset in it: "FILE" or "FILE:OFFSET".
  std::string place;
  std::string problem;
};

}  // namespace coltsfootfork
