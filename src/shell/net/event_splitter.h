#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootfork {

struct ServerSentEvent {
  // The event as received, including the blank line at its end.
  std::string text;
  // Set if the event has a numeric id.
  std::optional<std::uint64_t> id;
};

// Splits a stream of server-sent events into complete events, so that a caller
// never receives part of an event when the stream breaks off or is resumed on
// another server.
class EventSplitter {
 public:
  // Adds bytes and returns the events that are now complete.
  std::vector<ServerSentEvent> Feed(std::string_view bytes);

  // Returns the bytes after the last complete event.
  const std::string& incomplete_event() const { return incomplete_event_; }
  // Returns whether a stream that ends now would end inside an event: its last
  // line is unfinished or belongs to an event. Comments and blank lines may
  // follow the last event.
  bool IsInsideEvent() const;
  // Returns whether an event, and not only comments, is complete.
  bool has_events() const { return has_events_; }
  // Discards the bytes of an event that will not be completed.
  void DiscardIncompleteEvent() { incomplete_event_.clear(); }
  // Prepares for the next response.
  void Restart() { *this = EventSplitter(); }

 private:
  std::string incomplete_event_;
  bool has_events_ = false;
};

// Returns whether a Content-Type field denotes a stream of events.
bool IsEventStreamType(std::string_view content_type);

// Returns whether the body is a complete stream: it does not end inside an
// event. If nothing but the end of the connection delimits the body, it has an
// event, since a server that breaks off at the beginning leaves none.
bool IsCompleteEventStream(std::string_view body, bool is_delimited);

}  // namespace coltsfootfork
