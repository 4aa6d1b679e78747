#pragma once

#include <string>

namespace coltsfootfork {

// Why the data folder cannot be opened, read or written.
struct StorageError {
  // The file, with an offset where relevant: "FILE" or "FILE:OFFSET".
  std::string place;
  std::string problem;
};

}  // namespace coltsfootfork
