#include "coltsfootfork/core/overload/connection_limiter.h"

#include <algorithm>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMemoryFraction = 4;
constexpr std::size_t kDescriptorFraction = 2;

}  // namespace

ConnectionLimits LimitsForHost(std::optional<std::size_t> memory_bytes,
                               std::optional<std::size_t> descriptors) {
  ConnectionLimits limits;
  if (memory_bytes) {
    limits.max_reading_bytes =
        std::min(limits.max_reading_bytes, *memory_bytes / kMemoryFraction);
  }
  if (descriptors) {
    limits.max_connections =
        std::min(limits.max_connections, *descriptors / kDescriptorFraction);
  }
  return limits;
}

ConnectionLimiter::ConnectionId ConnectionLimiter::Open(Time now) {
  const ConnectionId id = next_id_++;
  connections_[id].phase_since = now;
  return id;
}

void ConnectionLimiter::SetPhase(ConnectionId id, ConnectionPhase phase,
                                 Time now) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  found->second.phase = phase;
  found->second.phase_since = now;
}

void ConnectionLimiter::SetReadingBytes(ConnectionId id, std::size_t bytes) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  reading_bytes_ += bytes;
  reading_bytes_ -= std::exchange(found->second.reading_bytes, bytes);
}

void ConnectionLimiter::Close(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  reading_bytes_ -= found->second.reading_bytes;
  connections_.erase(found);
}

std::optional<ConnectionPhase> ConnectionLimiter::PhaseOf(
    ConnectionId id) const {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return std::nullopt;
  return found->second.phase;
}

std::optional<int> ConnectionLimiter::ClosingClass(const Connection& connection,
                                                   Time now) {
  constexpr int kInGracePeriod = 3;
  constexpr int kLast = 4;
  const bool is_new = now < connection.phase_since + kGracePeriod;
  switch (connection.phase) {
    case ConnectionPhase::kIdle:
      return is_new ? kInGracePeriod : 0;
    case ConnectionPhase::kReadingHead:
      return is_new ? kInGracePeriod : 1;
    case ConnectionPhase::kReadingBody:
      return 2;
    case ConnectionPhase::kDelivering:
      return is_new ? std::optional<int>() : kLast;
    case ConnectionPhase::kResponding:
      break;
  }
  return std::nullopt;
}

bool ConnectionLimiter::ClosesBefore(const Connection& a, const Connection& b) {
  if (a.phase == ConnectionPhase::kReadingBody) {
    return a.reading_bytes > b.reading_bytes;
  }
  return a.phase_since < b.phase_since;
}

std::optional<ConnectionLimiter::ConnectionId> ConnectionLimiter::ChooseVictim(
    Time now) const {
  const bool too_many = connections_.size() > limits_.max_connections;
  const bool too_large = reading_bytes_ > limits_.max_reading_bytes;
  if (!too_many && !too_large) return std::nullopt;
  std::optional<ConnectionId> victim;
  int victim_class = 0;
  const Connection* chosen = nullptr;
  for (const auto& [id, connection] : connections_) {
    const auto closing_class = ClosingClass(connection, now);
    if (!closing_class) continue;
    // Closing a connection without bytes would free no memory.
    if (!too_many && connection.reading_bytes == 0) continue;
    const bool is_better =
        chosen == nullptr || *closing_class < victim_class ||
        (*closing_class == victim_class && ClosesBefore(connection, *chosen));
    if (!is_better) continue;
    victim = id;
    victim_class = *closing_class;
    chosen = &connection;
  }
  return victim;
}

}  // namespace coltsfootfork
