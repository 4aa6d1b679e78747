#include "shell/serving/serving_process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "shell/clock/monotonic_now.h"

namespace coltsfootfork {
namespace {

// Interval at which the settings file is checked for changes. Short compared to
// the time until a changed seed address may be needed.
constexpr std::chrono::milliseconds kSettingsCheckInterval{5000};
constexpr std::chrono::milliseconds kIdleCheckInterval{50};

std::string ReadSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

ServingProcess::ServingProcess(boost::asio::io_context& io,
                               std::string settings_path,
                               const ServingSettings& settings,
                               std::string role, Events events)
    : settings_path_(std::move(settings_path)),
      settings_text_(ReadSettingsFile(settings_path_)),
      events_(std::move(events)),
      log_(io, settings.log_level),
      signals_(io, SIGTERM, SIGINT, SIGHUP),
      settings_check_timer_(io),
      idle_check_timer_(io) {
  std::signal(SIGPIPE, SIG_IGN);
  Log(LogLevel::kInfo, Event::kStarted,
      {{"process", settings.process},
       {"role", role},
       {"zone", settings.zone.value()},
       {"ip", settings.ip},
       {"data_folder", settings.data_folder},
       {"first_start", settings.is_first_start ? "true" : "false"}});
  WaitForSignal();
  ScheduleSettingsCheck();
}

void ServingProcess::ExitWhenIdle(std::function<bool()> is_idle, Time exit_at) {
  if (is_idle() || MonotonicNow() >= exit_at) Exit();
  idle_check_timer_.expires_after(kIdleCheckInterval);
  idle_check_timer_.async_wait([this, is_idle = std::move(is_idle),
                                exit_at](boost::system::error_code error) {
    if (!error) ExitWhenIdle(is_idle, exit_at);
  });
}

void ServingProcess::Exit() {
  Log(LogLevel::kInfo, Event::kStopped, {});
  log_.Flush();
  std::_Exit(EXIT_SUCCESS);
}

void ServingProcess::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    WaitForSignal();
    if (signal == SIGHUP) return ReloadSettings();
    if (std::exchange(shutting_down_, true)) return;
    Log(LogLevel::kInfo, Event::kStopping,
        {{"signal", std::to_string(signal)}});
    events_.on_stop();
  });
}

void ServingProcess::ScheduleSettingsCheck() {
  settings_check_timer_.expires_after(kSettingsCheckInterval);
  settings_check_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    ReloadSettings();
    ScheduleSettingsCheck();
  });
}

void ServingProcess::ReloadSettings() {
  std::string text = ReadSettingsFile(settings_path_);
  if (text == settings_text_) return;
  settings_text_ = std::move(text);
  Findings findings;
  const auto settings = ParseServingSettings(settings_text_, findings);
  if (!settings) {
    Log(LogLevel::kWarning, Event::kSettingsRefused,
        {{"findings", findings.ToText()}});
    return;
  }
  Log(LogLevel::kInfo, Event::kSettingsRead, {{"path", settings_path_}});
  events_.on_settings(*settings);
}

}  // namespace coltsfootfork
