#include "cli/files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace coltsfootfork {

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file),
                   std::istreambuf_iterator<char>()};
  if (!file) {
    throw std::runtime_error(path + ": " + std::strerror(errno));
  }
  return text;
}

std::string ReadSecretFile(const std::string& path) {
  std::string text = ReadTextFile(path);
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

}  // namespace coltsfootfork
