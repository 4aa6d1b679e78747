#include "bounded_findings.h"

#include <utility>

#include "coltsfootfork/core/configuration/parse_configuration.h"

namespace coltsfootfork {
namespace {

constexpr std::size_t kMaxExcerptBytes = 80;

bool IsUtf8Continuation(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

}  // namespace

std::string Excerpt(std::string_view text) {
  if (text.size() <= kMaxExcerptBytes) return std::string(text);
  std::size_t end = kMaxExcerptBytes;
  while (end > 0 && IsUtf8Continuation(text[end])) --end;
  return std::string(text.substr(0, end)) + "...";
}

std::string ChildPointer(const std::string& parent, std::string_view key) {
  std::string pointer = parent + "/";
  for (const char c : Excerpt(key)) {
    if (c == '~') {
      pointer += "~0";
    } else if (c == '/') {
      pointer += "~1";
    } else {
      pointer += c;
    }
  }
  return pointer;
}

std::string ChildPointer(const std::string& parent, std::size_t index) {
  return parent + "/" + std::to_string(index);
}

void BoundedFindings::Add(const std::string& place, std::string problem) {
  const std::size_t count = findings_.list().size();
  if (count + 1 < kMaxFindings) {
    findings_.Add(place, std::move(problem));
  } else if (count + 1 == kMaxFindings) {
    findings_.Add("", "there are more findings than are listed");
  }
}

}  // namespace coltsfootfork
