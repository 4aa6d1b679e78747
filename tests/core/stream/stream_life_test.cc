#include "coltsfootfork/core/stream/stream_life.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_SUITE(StreamLifeTest)

BOOST_AUTO_TEST_CASE(GoesThroughEveryState) {
  StreamLife life;
  const auto goes = [&](StreamEvent event, StreamState to) {
    BOOST_TEST(life.Apply(event));
    BOOST_TEST((life.state() == to));
  };
  BOOST_TEST((life.state() == StreamState::kWaiting));
  goes(StreamEvent::kClaimAsked, StreamState::kClaiming);
  goes(StreamEvent::kClaimGranted, StreamState::kWaiting);
  goes(StreamEvent::kHandedOver, StreamState::kDispatched);
  goes(StreamEvent::kTakenBack, StreamState::kWaiting);
  goes(StreamEvent::kHandedOver, StreamState::kDispatched);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kResumeAsked, StreamState::kResuming);
  goes(StreamEvent::kResumeAsked, StreamState::kResuming);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kEnded, StreamState::kFinished);
}

BOOST_AUTO_TEST_CASE(BegunStreamIsNeverTakenBack) {
  StreamLife life;
  life.Apply(StreamEvent::kHandedOver);
  life.Apply(StreamEvent::kTokenDelivered);
  BOOST_TEST(!life.Apply(StreamEvent::kTakenBack));
  BOOST_TEST(!life.Apply(StreamEvent::kHandedOver));
  BOOST_TEST((life.state() == StreamState::kStreaming));
  life.Apply(StreamEvent::kEnded);
  BOOST_TEST(!life.Apply(StreamEvent::kTokenDelivered));
  BOOST_TEST((life.state() == StreamState::kFinished));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
