#include "shell/net/connection_table.h"

#include <chrono>
#include <utility>

#include "shell/log/event.h"

namespace coltsfootfork {
namespace {

// A flood of clients must not become a flood of log lines.
constexpr Duration kLogInterval = std::chrono::seconds(1);

std::string PhaseName(ConnectionPhase phase) {
  switch (phase) {
    case ConnectionPhase::kIdle:
      return "idle";
    case ConnectionPhase::kReadingHead:
      return "reading_head";
    case ConnectionPhase::kReadingBody:
      return "reading_body";
    case ConnectionPhase::kDelivering:
      return "delivering";
    case ConnectionPhase::kResponding:
      break;
  }
  return "responding";
}

}  // namespace

ConnectionTable::ConnectionId ConnectionTable::Add(std::function<void()> close,
                                                   Time now) {
  const ConnectionId id = limiter_.Open(now);
  close_handlers_[id] = std::move(close);
  EnforceLimits(now);
  return id;
}

void ConnectionTable::Remove(ConnectionId id) {
  limiter_.Close(id);
  close_handlers_.erase(id);
}

void ConnectionTable::SetReadingBytes(ConnectionId id, std::size_t bytes,
                                      Time now) {
  limiter_.SetReadingBytes(id, bytes);
  EnforceLimits(now);
}

void ConnectionTable::EnforceLimits(Time now) {
  while (const auto victim = limiter_.ChooseVictim(now)) {
    const ConnectionPhase phase =
        limiter_.PhaseOf(*victim).value_or(ConnectionPhase::kIdle);
    ++closed_[phase];
    ++unlogged_;
    const auto handler = close_handlers_.find(*victim);
    const std::function<void()> close =
        handler == close_handlers_.end() ? nullptr : std::move(handler->second);
    // Removed first, since the handler removes the connection as well.
    Remove(*victim);
    if (close) close();
    if (now < next_log_) continue;
    next_log_ = now + kLogInterval;
    Log(LogLevel::kWarning, Event::kConnectionsClosed,
        {{"count", std::to_string(std::exchange(unlogged_, 0))},
         {"phase", PhaseName(phase)},
         {"connections", std::to_string(limiter_.connections())},
         {"reading_bytes", std::to_string(limiter_.reading_bytes())}});
  }
}

std::map<std::string, std::uint64_t> ConnectionTable::MetricValues() const {
  std::map<std::string, std::uint64_t> values = {
      {"http_connections", limiter_.connections()},
      {"http_reading_bytes", limiter_.reading_bytes()},
  };
  for (const ConnectionPhase phase :
       {ConnectionPhase::kIdle, ConnectionPhase::kReadingHead,
        ConnectionPhase::kReadingBody, ConnectionPhase::kDelivering}) {
    const auto closed = closed_.find(phase);
    values["http_connections_closed_" + PhaseName(phase) + "_total"] =
        closed == closed_.end() ? 0 : closed->second;
  }
  return values;
}

}  // namespace coltsfootfork
