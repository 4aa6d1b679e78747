#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Splits server-sent events out of bytes as they come, whatever the cuts
// between them.
class EventStreamReader {
 public:
  // Gets the data of one event; returning false stops the reading.
  using EventHandler = std::function<bool(std::string_view data)>;

  EventStreamReader(std::size_t max_event_bytes, EventHandler on_event)
      : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event)) {}

  // False when an event is larger than allowed or the handler stopped.
  bool Feed(std::string_view bytes);

 private:
  bool ProcessLine(std::string_view line);

  std::size_t max_event_bytes_;
  EventHandler on_event_;
  // The line begun by earlier bytes, and the event's data so far.
  std::string partial_line_;
  std::string event_data_;
};

}  // namespace coltsfootfork
