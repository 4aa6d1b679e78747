#pragma once

#include <string>

namespace coltsfootfork {

// The whole content of a file. Throws std::runtime_error with the path and the
// cause when it cannot be read.
std::string ReadTextFile(const std::string& path);

// The same without the line end, for keys and tokens.
std::string ReadSecretFile(const std::string& path);

}  // namespace coltsfootfork
