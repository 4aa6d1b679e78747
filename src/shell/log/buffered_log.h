#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shell/log/event.h"
#include "shell/log/line_buffer.h"

namespace coltsfootfork {

// Writes the log to standard output without blocking the event loop. A process
// has one instance, which must exist for as long as the process logs.
class BufferedLog {
 public:
  BufferedLog(boost::asio::io_context& io, LogLevel min_level);
  BufferedLog(const BufferedLog&) = delete;
  BufferedLog& operator=(const BufferedLog&) = delete;

  void Flush() { lines_.Flush(); }
  std::uint64_t dropped() const { return lines_.dropped(); }

 private:
  void ScheduleFlush();

  LineBuffer lines_;
  boost::asio::steady_timer flush_timer_;
  bool flush_scheduled_ = false;
};

}  // namespace coltsfootfork
