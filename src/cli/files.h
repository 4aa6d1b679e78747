#pragma once

#include <string>

namespace coltsfootfork {

// Returns the content of a file. Throws std::runtime_error with the path and
// the cause if the file cannot be read.
std::string ReadTextFile(const std::string& path);

// Reads a key or token like ReadTextFile, without the line ends at the end of
// the file.
std::string ReadSecretFile(const std::string& path);

}  // namespace coltsfootfork
