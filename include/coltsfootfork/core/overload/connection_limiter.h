#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// What a client's connection is doing.
enum class ConnectionPhase : std::uint8_t {
  // No byte of a request has arrived.
  kIdle = 0,
  kReadingHead,
  kReadingBody,
  // A request was read and its response is not complete.
  kResponding,
  // The response is complete and waits for the client to read it.
  kDelivering,
};

struct ConnectionLimits {
  // Connections of clients to all ports of the process together.
  std::size_t max_connections = 4096;
  // Bytes of requests that are being read, of all connections together.
  std::size_t max_reading_bytes = 64U << 20U;
};

// Returns limits that fit a process with so much memory and so many file
// descriptors; absent ones do not restrict. A quarter of the memory is for
// requests that are being read, since as much again may be needed for requests
// in progress and for responses. Half of the descriptors are for clients, the
// rest for servers, peers and files.
ConnectionLimits LimitsForHost(std::optional<std::size_t> memory_bytes,
                               std::optional<std::size_t> descriptors);

// Keeps the connections of untrusted clients within the memory and the
// descriptors of the process: decides which connections to close when there are
// too many of them or when they hold too many bytes.
//
// If there are too many connections, idle ones are closed first, the longest
// idle first: a client can open a new one at no loss. Then follow those without
// a complete request head, oldest first, and then those that hold the most
// bytes. Connections younger than kGracePeriod are spared while there are
// others, so that a client that connects during a flood gets to send its
// request. Clients that do not read their complete responses come last, and a
// connection with a request in progress is never closed.
class ConnectionLimiter {
 public:
  using ConnectionId = std::uint64_t;

  // A client within the limits sends its request's head in one round trip.
  static constexpr Duration kGracePeriod = std::chrono::milliseconds(250);

  explicit ConnectionLimiter(const ConnectionLimits& limits)
      : limits_(limits) {}

  ConnectionId Open(Time now);
  void SetPhase(ConnectionId id, ConnectionPhase phase, Time now);
  // Sets the bytes that the connection holds of a request that is being read.
  void SetReadingBytes(ConnectionId id, std::size_t bytes);
  void Close(ConnectionId id);

  bool IsOverLimit() const {
    return connections_.size() > limits_.max_connections ||
           reading_bytes_ > limits_.max_reading_bytes;
  }
  // Returns the connection to close next, or nullopt if the limits are kept or
  // only requests in progress are left.
  std::optional<ConnectionId> ChooseVictim(Time now) const;

  std::size_t connections() const { return connections_.size(); }
  std::size_t reading_bytes() const { return reading_bytes_; }
  std::optional<ConnectionPhase> PhaseOf(ConnectionId id) const;

 private:
  struct Connection {
    ConnectionPhase phase = ConnectionPhase::kIdle;
    Time phase_since;
    std::size_t reading_bytes = 0;
  };

  // Returns whether the first connection of the same class is closed first.
  static bool ClosesBefore(const Connection& a, const Connection& b);
  // Lower classes are closed first; nullopt if the connection is kept.
  static std::optional<int> ClosingClass(const Connection& connection,
                                         Time now);

  ConnectionLimits limits_;
  std::map<ConnectionId, Connection> connections_;
  ConnectionId next_id_ = 1;
  std::size_t reading_bytes_ = 0;
};

}  // namespace coltsfootfork
