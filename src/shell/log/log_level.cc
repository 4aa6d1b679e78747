#include "shell/log/log_level.h"

namespace coltsfootfork {

std::optional<LogLevel> LogLevelNamed(const std::string& name) {
  if (name == "error") return LogLevel::kError;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "info") return LogLevel::kInfo;
  if (name == "debug") return LogLevel::kDebug;
  return std::nullopt;
}

}  // namespace coltsfootfork
