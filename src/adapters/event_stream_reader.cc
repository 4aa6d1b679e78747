#include "adapters/event_stream_reader.h"

namespace coltsfootfork {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

bool EventStreamReader::Feed(std::string_view bytes) {
  for (auto end = bytes.find('\n'); end != std::string_view::npos;
       end = bytes.find('\n')) {
    // Most lines come whole; only cut ones are put together.
    std::string_view line = bytes.substr(0, end);
    if (!line_.empty()) {
      line_.append(line);
      line = line_;
    }
    if (line.size() > max_event_bytes_ || !EndLine(line)) return false;
    line_.clear();
    bytes.remove_prefix(end + 1);
  }
  line_.append(bytes);
  return line_.size() <= max_event_bytes_;
}

bool EventStreamReader::EndLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) {
    if (data_.empty()) return true;
    const bool go_on = on_event_(data_);
    data_.clear();
    return go_on;
  }
  if (line.substr(0, kDataField.size()) != kDataField) return true;
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (!data_.empty()) data_ += '\n';
  data_.append(line);
  return data_.size() <= max_event_bytes_;
}

}  // namespace coltsfootfork
