#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "coltsfootfork/core/types/time.h"
#include "shell/log/buffered_log.h"
#include "shell/serving/serving_settings.h"

namespace coltsfootfork {

// The parts common to all serving processes: the log, signal handling, and
// settings that are reloaded on SIGHUP and when their file changes.
class ServingProcess {
 public:
  struct Events {
    // Called once, on SIGTERM or SIGINT. The handler must call Exit() when the
    // shutdown is complete.
    std::function<void()> on_stop;
    std::function<void(const ServingSettings& settings)> on_settings;
  };

  ServingProcess(boost::asio::io_context& io, std::string settings_path,
                 const ServingSettings& settings, std::string role,
                 Events events);
  ServingProcess(const ServingProcess&) = delete;
  ServingProcess& operator=(const ServingProcess&) = delete;

  // Exits the process once `is_idle` returns true, at the latest at `exit_at`.
  // `is_idle` is called periodically and may end what is left.
  void ExitWhenIdle(std::function<bool()> is_idle, Time exit_at);
  // Flushes the log and exits the process at once, without joining the threads
  // of the log library.
  [[noreturn]] void Exit();

  std::uint64_t dropped_log_lines() const { return log_.dropped(); }

 private:
  void WaitForSignal();
  void ScheduleSettingsCheck();
  void ReloadSettings();

  std::string settings_path_;
  std::string settings_text_;
  Events events_;
  BufferedLog log_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer settings_check_timer_;
  boost::asio::steady_timer idle_check_timer_;
  bool shutting_down_ = false;
};

}  // namespace coltsfootfork
