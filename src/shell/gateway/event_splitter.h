#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootfork {

struct StreamEvent {
  // As sent, with the blank line that ends it.
  std::string text;
  // Where the event has an id that is a number.
  std::optional<std::uint64_t> id;
};

// Cuts a stream of server-sent events into whole events, so that a stream that
// breaks off, or goes on at another server, never shows a part of one.
class EventSplitter {
 public:
  // Takes bytes in and gives back all events that are whole by now.
  std::vector<StreamEvent> Feed(std::string_view bytes);

  // Bytes of an event that is not whole.
  const std::string& incomplete_event() const { return incomplete_event_; }
  // Forgets the part of an event that will not become whole.
  void DiscardIncompleteEvent() { incomplete_event_.clear(); }

 private:
  std::string incomplete_event_;
};

}  // namespace coltsfootfork
