#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "shell/fleet/frame_link.h"

namespace coltsfootfork {

// Returns kBulk for messages that may be large and that other messages may
// overtake. Usage reports, for example, must arrive in order.
FramePriority PriorityOf(const FleetMessage& message);

// A message encoded once for all its recipients.
struct EncodedMessage {
  explicit EncodedMessage(const FleetMessage& message)
      : kind(message.index()),
        bytes(EncodeFleetMessage(message)),
        priority(PriorityOf(message)) {}

  std::size_t kind;
  std::string bytes;
  FramePriority priority;
};

// Counts the messages and bytes that a process sends, by message type.
class FleetTraffic {
 public:
  void Count(const EncodedMessage& message) {
    Sums& sums = sums_[message.kind];
    ++sums.messages;
    sums.bytes += message.bytes.size();
  }
  // Values for the metrics page by metric name.
  std::map<std::string, std::uint64_t> Values() const;

 private:
  struct Sums {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  std::map<std::size_t, Sums> sums_;
};

}  // namespace coltsfootfork
