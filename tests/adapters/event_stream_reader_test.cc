#include "adapters/event_stream_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace coltsfootfork {
namespace {

using Events = std::vector<std::string>;

BOOST_AUTO_TEST_CASE(EventsDoNotDependOnChunkBoundaries) {
  const std::string bytes =
      "data: one\n\n: note\r\ndata:two\r\ndata: more\r\n\r\nevent: x\n\n"
      "data: cut";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    Events events;
    EventStreamReader reader(100, [&](std::string_view data) {
      events.emplace_back(data);
      return true;
    });
    BOOST_TEST(reader.Feed(std::string_view(bytes).substr(0, cut)));
    BOOST_TEST(reader.Feed(std::string_view(bytes).substr(cut)));
    BOOST_TEST(events == Events({"one", "two\nmore"}), "cut at " << cut);
  }
}

BOOST_AUTO_TEST_CASE(OversizedLineOrEventIsRejected) {
  const auto continue_reading = [](std::string_view) { return true; };
  EventStreamReader unterminated_line(16, continue_reading);
  BOOST_TEST(!unterminated_line.Feed("data: " + std::string(20, 'x')));
  EventStreamReader many_lines(16, continue_reading);
  BOOST_TEST(many_lines.Feed("data: 12345678\n"));
  BOOST_TEST(!many_lines.Feed("data: 12345678\n"));
}

}  // namespace
}  // namespace coltsfootfork
