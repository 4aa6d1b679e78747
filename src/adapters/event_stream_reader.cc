#include "adapters/event_stream_reader.h"

namespace coltsfootfork {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

bool EventStreamReader::Feed(std::string_view bytes) {
  for (auto end = bytes.find('\n'); end != std::string_view::npos;
       end = bytes.find('\n')) {
    // Most lines arrive complete. Only lines split between two calls are
    // copied.
    std::string_view line = bytes.substr(0, end);
    if (!partial_line_.empty()) {
      partial_line_.append(line);
      line = partial_line_;
    }
    if (line.size() > max_event_bytes_ || !ProcessLine(line)) return false;
    partial_line_.clear();
    bytes.remove_prefix(end + 1);
  }
  partial_line_.append(bytes);
  return partial_line_.size() <= max_event_bytes_;
}

bool EventStreamReader::ProcessLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) {
    if (event_data_.empty()) return true;
    const bool continue_reading = on_event_(event_data_);
    event_data_.clear();
    return continue_reading;
  }
  if (line.substr(0, kDataField.size()) != kDataField) return true;
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (!event_data_.empty()) event_data_ += '\n';
  event_data_.append(line);
  return event_data_.size() <= max_event_bytes_;
}

}  // namespace coltsfootfork
