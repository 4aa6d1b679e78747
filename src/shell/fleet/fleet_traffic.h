#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// A message encoded once for all its recipients.
struct EncodedMessage {
  explicit EncodedMessage(const FleetMessage& message)
      : kind(message.index()), bytes(EncodeFleetMessage(message)) {}

  std::size_t kind;
  std::string bytes;
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
