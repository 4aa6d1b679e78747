#pragma once

#include <log4cplus/appender.h>

#include "shell/log/event.h"

namespace coltsfootfork {

// Starts logging to the appender, with the line layout of the project.
void StartLogTo(const log4cplus::SharedAppenderPtr& appender,
                LogLevel min_level);

}  // namespace coltsfootfork
