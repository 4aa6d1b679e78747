#include "coltsfootfork/core/metrics/value_text.h"

#include <string_view>

namespace coltsfootfork {
namespace {

constexpr std::string_view kCounterSuffix = "_total";

bool IsCounter(std::string_view name) {
  return name.size() > kCounterSuffix.size() &&
         name.substr(name.size() - kCounterSuffix.size()) == kCounterSuffix;
}

}  // namespace

std::string ValueText(const std::map<std::string, std::uint64_t>& values) {
  std::string text;
  for (const auto& [name, value] : values) {
    const std::string metric = "coltsfootfork_" + name;
    text += "# TYPE " + metric + (IsCounter(name) ? " counter\n" : " gauge\n");
    text += metric + ' ' + std::to_string(value) + '\n';
  }
  return text;
}

}  // namespace coltsfootfork
