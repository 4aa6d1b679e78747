#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "coltsfootfork/core/overload/connection_limiter.h"
#include "coltsfootfork/core/overload/held_bytes_budget.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The clients' connections to all HTTP servers of a process. Closes some of
// them when the process would exceed its limits.
class ConnectionTable {
 public:
  using ConnectionId = ConnectionLimiter::ConnectionId;

  // The responses that wait for clients count toward `held_bytes`.
  explicit ConnectionTable(const ConnectionLimits& limits,
                           std::shared_ptr<HeldBytesBudget> held_bytes =
                               std::make_shared<HeldBytesBudget>())
      : limiter_(limits), held_bytes_(std::move(held_bytes)) {}
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  // Adds a connection, which `close` closes. Other connections may be closed
  // before the function returns, and this one soon after it.
  ConnectionId Add(std::function<void()> close, Time now);
  void Remove(ConnectionId id);
  void SetPhase(ConnectionId id, ConnectionPhase phase, Time now) {
    limiter_.SetPhase(id, phase, now);
  }
  // May close this and other connections before the function returns.
  void SetReadingBytes(ConnectionId id, std::size_t bytes, Time now);

  const std::shared_ptr<HeldBytesBudget>& held_bytes() const {
    return held_bytes_;
  }

  // Values for the metrics page by metric name.
  std::map<std::string, std::uint64_t> MetricValues() const;

 private:
  void EnforceLimits(Time now);

  ConnectionLimiter limiter_;
  std::shared_ptr<HeldBytesBudget> held_bytes_;
  std::map<ConnectionId, std::function<void()>> close_handlers_;
  std::map<ConnectionPhase, std::uint64_t> closed_;
  // Connections closed since the last log line.
  std::uint64_t unlogged_ = 0;
  Time next_log_;
};

}  // namespace coltsfootfork
