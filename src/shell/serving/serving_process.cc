#include "shell/serving/serving_process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

namespace coltsfootfork {
namespace {

// How often the settings file is looked at; short against the time that a
// changed seed may be needed.
constexpr std::chrono::milliseconds kWatchInterval{5000};

std::string ReadFile(const std::string& path) {
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
      settings_text_(ReadFile(settings_path_)),
      events_(std::move(events)),
      log_(io, settings.log_level),
      signals_(io, SIGTERM, SIGINT, SIGHUP),
      watch_(io) {
  std::signal(SIGPIPE, SIG_IGN);
  Log(LogLevel::kInfo, Event::kStarted,
      {{"process", settings.process},
       {"role", role},
       {"zone", settings.zone.value()},
       {"ip", settings.ip},
       {"data_folder", settings.data_folder},
       {"first_start", settings.is_first_start ? "true" : "false"}});
  AwaitSignal();
  WatchFile();
}

void ServingProcess::Exit() {
  Log(LogLevel::kInfo, Event::kStopped, {});
  log_.Flush();
  std::_Exit(EXIT_SUCCESS);
}

void ServingProcess::AwaitSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    AwaitSignal();
    if (signal == SIGHUP) return ReadAgain();
    if (std::exchange(stopping_, true)) return;
    Log(LogLevel::kInfo, Event::kStopping,
        {{"signal", std::to_string(signal)}});
    events_.on_stop();
  });
}

void ServingProcess::WatchFile() {
  watch_.expires_after(kWatchInterval);
  watch_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    ReadAgain();
    WatchFile();
  });
}

void ServingProcess::ReadAgain() {
  std::string text = ReadFile(settings_path_);
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
