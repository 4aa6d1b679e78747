#include "shell/net/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(EventsAreCompleteForAnyChunkBoundary) {
  const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::vector<ServerSentEvent> events = splitter.Feed(stream.substr(0, cut));
    for (ServerSentEvent& event : splitter.Feed(stream.substr(cut))) {
      events.push_back(std::move(event));
    }
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events[0].text == "id: 1\ndata: a\n\n");
    BOOST_TEST(events[0].id.value() == 1U);
    BOOST_TEST(events[1].id.value() == 2U);
    BOOST_TEST(splitter.incomplete_event().empty());
  }
}

BOOST_AUTO_TEST_CASE(IncompleteEventIsHeldBack) {
  EventSplitter splitter;
  BOOST_TEST(splitter.Feed("id: 7\ndata: half").empty());
  BOOST_TEST(splitter.incomplete_event() == "id: 7\ndata: half");
  splitter.DiscardIncompleteEvent();
  BOOST_TEST(splitter.Feed("id: 7\ndata: whole\n\n").size() == 1U);
}

BOOST_AUTO_TEST_CASE(OnlyCommentsAndBlankLinesMayFollowTheLastEvent) {
  for (const char* rest : {"", "\n", "\r\n", ": c\n", ": c\r\n\r\n"}) {
    EventSplitter splitter;
    splitter.Feed(std::string("data: a\n\n") + rest);
    BOOST_TEST(!splitter.IsInsideEvent(), rest);
  }
  for (const char* rest : {"d", "data: b", "data: b\n", ": c\ndata: b\n",
                           "data: b\r\n", ": c", "\r"}) {
    EventSplitter splitter;
    splitter.Feed(std::string("data: a\n\n") + rest);
    BOOST_TEST(splitter.IsInsideEvent(), rest);
  }
}

BOOST_AUTO_TEST_CASE(CommentsAreNoEvents) {
  EventSplitter splitter;
  splitter.Feed(": c\n\n\r\ndata: a\n");
  BOOST_TEST(!splitter.has_events());
  splitter.Feed("\n");
  BOOST_TEST(splitter.has_events());
  splitter.Restart();
  BOOST_TEST(!splitter.has_events());
  BOOST_TEST(IsCompleteEventStream("", /*is_delimited=*/true));
  BOOST_TEST(!IsCompleteEventStream("", /*is_delimited=*/false));
  BOOST_TEST(IsCompleteEventStream("data: a\n\n", /*is_delimited=*/false));
  BOOST_TEST(!IsCompleteEventStream("data: a\n", /*is_delimited=*/true));
}

BOOST_AUTO_TEST_CASE(NonNumericEventIdIsIgnored) {
  EventSplitter splitter;
  const auto events = splitter.Feed("id: x\ndata: a\n\ndata: b\n\n");
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(!events[0].id.has_value());
  BOOST_TEST(!events[1].id.has_value());
}

}  // namespace
}  // namespace coltsfootfork
