#include "shell/log/buffered_log.h"

#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <utility>

#include "shell/log/log_appender.h"

namespace coltsfootfork {
namespace {

// About one second of log lines at peak load. Further lines are dropped.
constexpr std::size_t kMaxPendingBytes = 256U << 10U;
// Lines are written in batches because a write call costs more than formatting
// a line.
constexpr std::chrono::milliseconds kFlushInterval{250};

class LineAppender : public log4cplus::Appender {
 public:
  explicit LineAppender(std::function<void(std::string line)> sink)
      : sink_(std::move(sink)) {}
  ~LineAppender() override { destructorImpl(); }
  LineAppender(const LineAppender&) = delete;
  LineAppender& operator=(const LineAppender&) = delete;

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    sink_(formatEvent(event));
  }

 private:
  std::function<void(std::string line)> sink_;
};

}  // namespace

BufferedLog::BufferedLog(boost::asio::io_context& io, LogLevel min_level)
    : lines_(STDOUT_FILENO, kMaxPendingBytes), flush_timer_(io) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log4cplus::SharedAppenderPtr appender(
      new LineAppender([this](std::string line) {
        if (!line.empty() && line.back() == '\n') line.pop_back();
        lines_.Append(line);
        ScheduleFlush();
      }));
  StartLogTo(appender, min_level);
}

void BufferedLog::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  flush_timer_.expires_after(kFlushInterval);
  flush_timer_.async_wait([this](boost::system::error_code error) {
    flush_scheduled_ = false;
    if (!error) lines_.Flush();
    if (!lines_.pending().empty()) ScheduleFlush();
  });
}

}  // namespace coltsfootfork
