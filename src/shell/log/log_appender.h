#pragma once

#include <log4cplus/appender.h>

#include "shell/log/event.h"

namespace coltsfootfork {

// Opens the log on an appender, with the project's line layout.
void StartLogTo(const log4cplus::SharedAppenderPtr& appender,
                LogLevel min_level);

}  // namespace coltsfootfork
