#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Incremental parser of server-sent events. The bytes may be split at any
// position.
class EventStreamReader {
 public:
  // Receives the data of one event. Returning false stops the parser.
  using EventHandler = std::function<bool(std::string_view data)>;

  EventStreamReader(std::size_t max_event_bytes, EventHandler on_event)
      : max_event_bytes_(max_event_bytes), on_event_(std::move(on_event)) {}

  // Returns false if an event exceeds the size limit or the handler returned
  // false.
  bool Feed(std::string_view bytes);

 private:
  bool ProcessLine(std::string_view line);

  std::size_t max_event_bytes_;
  EventHandler on_event_;
  // The incomplete line of earlier calls, and the data of the current event.
  std::string partial_line_;
  std::string event_data_;
};

}  // namespace coltsfootfork
