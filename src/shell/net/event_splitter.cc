#include "shell/net/event_splitter.h"

#include <boost/beast/core/string.hpp>
#include <charconv>

namespace coltsfootfork {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the blank line that ends the first event, or npos.
std::size_t EndOfEvent(std::string_view text) {
  for (std::size_t newline = text.find('\n'); newline != std::string_view::npos;
       newline = text.find('\n', newline + 1)) {
    std::size_t next = newline + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

std::optional<std::uint64_t> ParseNumber(std::string_view value) {
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  while (!value.empty() && value.back() == '\r') value.remove_suffix(1);
  std::uint64_t number = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  std::optional<std::uint64_t> id;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) {
      id = ParseNumber(line.substr(kIdField.size()));
    }
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  }
  return id;
}

// Returns whether the lines include one that is neither blank nor a comment.
bool HasField(std::string_view lines) {
  while (!lines.empty()) {
    const std::size_t end = lines.find('\n');
    const std::string_view line = lines.substr(0, end);
    const bool is_blank = line.empty() || line == "\r";
    if (!is_blank && line.front() != ':') return true;
    lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 1);
  }
  return false;
}

}  // namespace

std::vector<ServerSentEvent> EventSplitter::Feed(std::string_view bytes) {
  incomplete_event_.append(bytes);
  std::vector<ServerSentEvent> events;
  std::size_t complete_size = 0;
  const std::string_view buffered = incomplete_event_;
  while (true) {
    const std::size_t end = EndOfEvent(buffered.substr(complete_size));
    if (end == std::string_view::npos) break;
    const std::string_view event = buffered.substr(complete_size, end);
    events.push_back({std::string(event), ParseEventId(event)});
    has_events_ = has_events_ || HasField(event);
    complete_size += end;
  }
  incomplete_event_.erase(0, complete_size);
  return events;
}

bool EventSplitter::IsInsideEvent() const {
  const std::string_view rest = incomplete_event_;
  return HasField(rest) || (!rest.empty() && rest.back() != '\n');
}

bool IsEventStreamType(std::string_view content_type) {
  const std::string_view type =
      content_type.substr(0, content_type.find_first_of("; "));
  return boost::beast::iequals({type.data(), type.size()}, "text/event-stream");
}

bool IsCompleteEventStream(std::string_view body, bool is_delimited) {
  EventSplitter splitter;
  splitter.Feed(body);
  return !splitter.IsInsideEvent() && (is_delimited || splitter.has_events());
}

}  // namespace coltsfootfork
