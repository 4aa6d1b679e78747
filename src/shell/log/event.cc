#include "shell/log/event.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "shell/log/log_appender.h"

namespace coltsfootfork {
namespace {

constexpr char kLoggerName[] = "coltsfootfork";

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kDebug:
      break;
  }
  return log4cplus::DEBUG_LOG_LEVEL;
}

// Quotes values that contain spaces, quotes or other separators, so that a
// reader can split the line into its fields.
std::string QuoteIfNeeded(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\n\r\t\\") == std::string::npos) {
    return value;
  }
  return nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

}  // namespace

const std::vector<EventInfo>& AllEvents() {
  static const std::vector<EventInfo> events = {
      {Event::kStarted, "started"},
      {Event::kListening, "listening"},
      {Event::kStopping, "stopping"},
      {Event::kStopped, "stopped"},
      {Event::kSettingsRead, "settings_read"},
      {Event::kSettingsRefused, "settings_refused"},
      {Event::kReadiness, "readiness"},
      {Event::kLinkUp, "link_up"},
      {Event::kLinkDown, "link_down"},
      {Event::kLinkRefused, "link_refused"},
      {Event::kConnectionsClosed, "connections_closed"},
      {Event::kPeerInputFailed, "peer_input_failed"},
      {Event::kRequestMalformed, "request_malformed"},
      {Event::kConfigurationInForce, "configuration_in_force"},
      {Event::kConfigurationRefused, "configuration_refused"},
      {Event::kConfigurationUnconfirmed, "configuration_unconfirmed"},
      {Event::kInventoryMismatch, "inventory_mismatch"},
      {Event::kConfigurationPut, "configuration_put"},
      {Event::kEvacuationOrdered, "evacuation_ordered"},
      {Event::kEvacuationsInForce, "evacuations_in_force"},
      {Event::kServerAnnounced, "server_announced"},
      {Event::kServerDraining, "server_draining"},
      {Event::kOrderRefused, "order_refused"},
      {Event::kServerFinding, "server_finding"},
      {Event::kServerSaidItLeaves, "server_said_it_leaves"},
      {Event::kServerAskedForTime, "server_asked_for_time"},
      {Event::kServerRateLimit, "server_rate_limit"},
      {Event::kServerCrashedAtStart, "server_crashed_at_start"},
      {Event::kDeparturesRecovered, "departures_recovered"},
      {Event::kServerCold, "server_cold"},
      {Event::kRequestRefused, "request_refused"},
      {Event::kRequestIncomplete, "request_incomplete"},
      {Event::kCallEnded, "call_ended"},
      {Event::kCallSentAgain, "call_sent_again"},
      {Event::kStreamCarried, "stream_carried"},
      {Event::kCarryRefused, "carry_refused"},
      {Event::kStreamMoved, "stream_moved"},
      {Event::kPromptPartRefused, "prompt_part_refused"},
      {Event::kSlowCallerEnded, "slow_caller_ended"},
      {Event::kBecameLeader, "became_leader"},
      {Event::kLostLeadership, "lost_leadership"},
      {Event::kReplicaFailed, "replica_failed"},
      {Event::kStorageFailed, "storage_failed"},
      {Event::kSnapshotTaken, "snapshot_taken"},
      {Event::kReplicaChanged, "replica_changed"},
  };
  return events;
}

std::string_view EventName(Event event) {
  for (const EventInfo& info : AllEvents()) {
    if (info.event == event) return info.name;
  }
  return "unknown";
}

void EndLogThreads() { log4cplus::deinitialize(); }

void StartLog(LogLevel min_level) {
  StartLogTo(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
                 /*logToStdErr=*/true, /*immediateFlush=*/true)),
             min_level);
}

void StartLogTo(const log4cplus::SharedAppenderPtr& appender,
                LogLevel min_level) {
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n")));
  log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(kLoggerName));
  logger.addAppender(appender);
  logger.setLogLevel(ToLibraryLevel(min_level));
}

void Log(LogLevel level, Event event,
         std::initializer_list<EventField> fields) {
  std::string line = std::to_string(static_cast<int>(event));
  line += ' ';
  line += EventName(event);
  for (const EventField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += QuoteIfNeeded(field.value);
  }
  log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT(kLoggerName));
  logger.log(ToLibraryLevel(level), line);
}

}  // namespace coltsfootfork
