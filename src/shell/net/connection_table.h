#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "coltsfootfork/core/overload/connection_limiter.h"
#include "coltsfootfork/core/overload/held_bytes_budget.h"
#include "coltsfootfork/core/overload/slow_reader_limiter.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// Why a connection was closed whose caller reads too slowly.
enum class SlowCallerReason : std::uint8_t {
  // Its stream's backlog exceeded what is allowed.
  kBacklog = 0,
  // The budget of held bytes was exhausted.
  kBudget,
  // The caller read nothing until the write timeout.
  kTimeout,
};

// A connection that was closed since its caller reads too slowly.
struct SlowCallerEnd {
  SlowCallerReason reason = SlowCallerReason::kBacklog;
  // IP:PORT; empty if it is not known any more.
  std::string client;
  std::size_t held_bytes = 0;
  // What may be held for the caller.
  std::size_t allowed_bytes = 0;
  // How long the caller had read nothing.
  Duration unread_time{0};
};

// A request that was rejected before it was handled.
struct MalformedRequest {
  // The status of the response.
  int status = 0;
  std::string problem;
  // IP:PORT; empty if it is not known any more.
  std::string client;
};

// Both close a connection.
struct ConnectionHandlers {
  std::function<void()> close;
  // Also reports the end with OnSlowCallerEnded.
  std::function<void()> end_slow_caller;
};

// The clients' connections to all HTTP servers of a process. Closes some of
// them when the process would exceed its limits.
class ConnectionTable {
 public:
  using ConnectionId = ConnectionLimiter::ConnectionId;

  // The responses that wait for clients count toward `held_bytes`.
  explicit ConnectionTable(const ConnectionLimits& limits,
                           std::shared_ptr<HeldBytesBudget> held_bytes =
                               std::make_shared<HeldBytesBudget>(),
                           Duration max_unread_time = kDefaultMaxUnreadTime)
      : limiter_(limits),
        slow_readers_(max_unread_time),
        held_bytes_(std::move(held_bytes)) {}
  ConnectionTable(const ConnectionTable&) = delete;
  ConnectionTable& operator=(const ConnectionTable&) = delete;

  // Adds a connection. Other connections may be closed before the function
  // returns, and this one soon after it.
  ConnectionId Add(ConnectionHandlers handlers, Time now);
  void Remove(ConnectionId id);
  void SetPhase(ConnectionId id, ConnectionPhase phase, Time now) {
    limiter_.SetPhase(id, phase, now);
  }
  // May close this and other connections before the function returns.
  void SetReadingBytes(ConnectionId id, std::size_t bytes, Time now);

  // Sets what the connection holds for its caller, and since when the caller
  // has read nothing.
  void SetBacklog(ConnectionId id, std::size_t bytes, Time unread_since) {
    slow_readers_.SetBacklog(id, bytes, unread_since);
  }
  // Closes connections of slow callers if the budget of held bytes is
  // exhausted.
  void CloseSlowReaders(Time now);
  // Logs and counts a connection that is about to be closed.
  void OnSlowCallerEnded(const SlowCallerEnd& end, Time now);
  // Logs and counts the request.
  void OnMalformedRequest(const MalformedRequest& request, Time now);

  const std::shared_ptr<HeldBytesBudget>& held_bytes() const {
    return held_bytes_;
  }

  // Values for the metrics page by metric name.
  std::map<std::string, std::uint64_t> MetricValues() const;

 private:
  void EnforceLimits(Time now);

  ConnectionLimiter limiter_;
  SlowReaderLimiter slow_readers_;
  std::shared_ptr<HeldBytesBudget> held_bytes_;
  std::map<ConnectionId, ConnectionHandlers> handlers_;
  std::map<ConnectionPhase, std::uint64_t> closed_;
  // Connections closed since the last log line.
  std::uint64_t unlogged_ = 0;
  Time next_log_;
  std::map<SlowCallerReason, std::uint64_t> slow_callers_;
  std::uint64_t unlogged_slow_callers_ = 0;
  Time next_slow_caller_log_;
  std::uint64_t malformed_requests_ = 0;
  std::uint64_t unlogged_malformed_requests_ = 0;
  Time next_malformed_request_log_;
};

}  // namespace coltsfootfork
