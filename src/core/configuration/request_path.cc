#include "request_path.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace coltsfootfork {
namespace {

std::optional<unsigned> HexValue(char c) {
  if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a') + 10;
  if (c >= 'A' && c <= 'F') return static_cast<unsigned>(c - 'A') + 10;
  return std::nullopt;
}

std::string DecodeEscapes(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto high = HexValue(text[i + 1]);
      const auto low = HexValue(text[i + 2]);
      if (high && low) {
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::vector<std::string> Segments(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    const std::string segment = path.substr(start, end - start);
    if (segment == ".." && !segments.empty()) segments.pop_back();
    if (!segment.empty() && segment != "." && segment != "..") {
      segments.push_back(segment);
    }
    start = end + 1;
  }
  return segments;
}

}  // namespace

std::string NormalizePath(std::string_view target) {
  const std::string path =
      DecodeEscapes(target.substr(0, target.find_first_of("?#")));
  std::string normalized;
  for (const std::string& segment : Segments(path)) {
    normalized += "/" + segment;
  }
  if (normalized.empty() || path.back() == '/') normalized += "/";
  return normalized;
}

}  // namespace coltsfootfork
