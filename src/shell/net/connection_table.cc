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

std::string ReasonName(SlowCallerReason reason) {
  switch (reason) {
    case SlowCallerReason::kBacklog:
      return "backlog";
    case SlowCallerReason::kBudget:
      return "budget";
    case SlowCallerReason::kTimeout:
      break;
  }
  return "timeout";
}

}  // namespace

ConnectionTable::ConnectionId ConnectionTable::Add(ConnectionHandlers handlers,
                                                   Time now) {
  const ConnectionId id = limiter_.Open(now);
  handlers_[id] = std::move(handlers);
  EnforceLimits(now);
  return id;
}

void ConnectionTable::Remove(ConnectionId id) {
  limiter_.Close(id);
  slow_readers_.SetBacklog(id, 0, Time());
  handlers_.erase(id);
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
    const auto found = handlers_.find(*victim);
    const std::function<void()> close =
        found == handlers_.end() ? nullptr : std::move(found->second.close);
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

void ConnectionTable::CloseSlowReaders(Time now) {
  for (const ConnectionId id : slow_readers_.ChooseVictims(*held_bytes_, now)) {
    const auto found = handlers_.find(id);
    if (found == handlers_.end()) continue;
    // Copied, since the handler removes the connection.
    const std::function<void()> end_slow_caller = found->second.end_slow_caller;
    end_slow_caller();
  }
}

void ConnectionTable::OnSlowCallerEnded(const SlowCallerEnd& end, Time now) {
  ++slow_callers_[end.reason];
  ++unlogged_slow_callers_;
  if (now < next_slow_caller_log_) return;
  next_slow_caller_log_ = now + kLogInterval;
  Log(LogLevel::kInfo, Event::kSlowCallerEnded,
      {{"count", std::to_string(std::exchange(unlogged_slow_callers_, 0))},
       {"reason", ReasonName(end.reason)},
       {"client", end.client},
       {"held_bytes", std::to_string(end.held_bytes)},
       {"allowed_bytes", std::to_string(end.allowed_bytes)},
       {"unread_ms", std::to_string(ToMilliseconds(end.unread_time))}});
}

void ConnectionTable::OnMalformedRequest(const MalformedRequest& request,
                                         Time now) {
  ++malformed_requests_;
  ++unlogged_malformed_requests_;
  if (now < next_malformed_request_log_) return;
  next_malformed_request_log_ = now + kLogInterval;
  Log(LogLevel::kInfo, Event::kRequestMalformed,
      {{"count",
        std::to_string(std::exchange(unlogged_malformed_requests_, 0))},
       {"status", std::to_string(request.status)},
       {"problem", request.problem},
       {"client", request.client}});
}

std::map<std::string, std::uint64_t> ConnectionTable::MetricValues() const {
  std::map<std::string, std::uint64_t> values = {
      {"http_connections", limiter_.connections()},
      {"http_reading_bytes", limiter_.reading_bytes()},
      {"http_malformed_requests_total", malformed_requests_},
  };
  for (const ConnectionPhase phase :
       {ConnectionPhase::kIdle, ConnectionPhase::kReadingHead,
        ConnectionPhase::kReadingBody, ConnectionPhase::kDelivering}) {
    const auto closed = closed_.find(phase);
    values["http_connections_closed_" + PhaseName(phase) + "_total"] =
        closed == closed_.end() ? 0 : closed->second;
  }
  for (const SlowCallerReason reason :
       {SlowCallerReason::kBacklog, SlowCallerReason::kBudget,
        SlowCallerReason::kTimeout}) {
    const auto ended = slow_callers_.find(reason);
    values["http_slow_callers_" + ReasonName(reason) + "_total"] =
        ended == slow_callers_.end() ? 0 : ended->second;
  }
  return values;
}

}  // namespace coltsfootfork
