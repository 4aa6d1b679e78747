#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "shell/log/buffered_log.h"
#include "shell/serving/serving_settings.h"

namespace coltsfootfork {

// What every serving process has: the log, signals, and settings that are read
// again when their file changes, with or without a signal.
class ServingProcess {
 public:
  struct Events {
    // Asked once to stop; the process ends by calling Exit().
    std::function<void()> on_stop;
    std::function<void(const ServingSettings& settings)> on_settings;
  };

  ServingProcess(boost::asio::io_context& io, std::string settings_path,
                 const ServingSettings& settings, std::string role,
                 Events events);
  ServingProcess(const ServingProcess&) = delete;
  ServingProcess& operator=(const ServingProcess&) = delete;

  // Writes the rest of the log and ends the process at once: threads that the
  // log library started are not waited for.
  [[noreturn]] void Exit();

  std::uint64_t dropped_log_lines() const { return log_.dropped(); }

 private:
  void AwaitSignal();
  void WatchFile();
  void ReadAgain();

  std::string settings_path_;
  std::string settings_text_;
  Events events_;
  BufferedLog log_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer watch_;
  bool stopping_ = false;
};

}  // namespace coltsfootfork
