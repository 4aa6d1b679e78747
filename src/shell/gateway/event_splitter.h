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
  const std::string& rest() const { return rest_; }
  // Forgets the part of an event that will not become whole.
  void DropRest() { rest_.clear(); }

 private:
  std::string rest_;
};

}  // namespace coltsfootfork
