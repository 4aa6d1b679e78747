#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {

// A message as bytes, encoded once for all who get it.
struct EncodedMessage {
  explicit EncodedMessage(const FleetMessage& message)
      : kind(message.index()), bytes(EncodeFleetMessage(message)) {}

  std::size_t kind;
  std::string bytes;
};

// Counts what a process says to its peers, by the kind of message.
class FleetTraffic {
 public:
  void Count(const EncodedMessage& message) {
    Sums& sums = sums_[message.kind];
    ++sums.messages;
    sums.bytes += message.bytes.size();
  }
  // By the names of the metrics page.
  std::map<std::string, std::uint64_t> Values() const;

 private:
  struct Sums {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };
  std::map<std::size_t, Sums> sums_;
};

}  // namespace coltsfootfork
