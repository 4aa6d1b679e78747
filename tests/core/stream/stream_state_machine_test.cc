#include "coltsfootfork/core/stream/stream_state_machine.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_SUITE(StreamStateMachineTest)

BOOST_AUTO_TEST_CASE(GoesThroughEveryState) {
  StreamStateMachine life;
  const auto goes = [&](StreamEvent event, StreamState to) {
    BOOST_TEST(life.Apply(event));
    BOOST_TEST((life.state() == to));
  };
  BOOST_TEST((life.state() == StreamState::kWaiting));
  goes(StreamEvent::kClaimRequested, StreamState::kClaiming);
  goes(StreamEvent::kClaimGranted, StreamState::kWaiting);
  goes(StreamEvent::kRequestDispatched, StreamState::kDispatched);
  goes(StreamEvent::kRequestWithdrawn, StreamState::kWaiting);
  goes(StreamEvent::kRequestDispatched, StreamState::kDispatched);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kResumeRequested, StreamState::kResuming);
  goes(StreamEvent::kResumeRequested, StreamState::kResuming);
  goes(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  goes(StreamEvent::kEnded, StreamState::kFinished);
}

BOOST_AUTO_TEST_CASE(BegunStreamIsNeverTakenBack) {
  StreamStateMachine life;
  life.Apply(StreamEvent::kRequestDispatched);
  life.Apply(StreamEvent::kTokenDelivered);
  BOOST_TEST(!life.Apply(StreamEvent::kRequestWithdrawn));
  BOOST_TEST(!life.Apply(StreamEvent::kRequestDispatched));
  BOOST_TEST((life.state() == StreamState::kStreaming));
  life.Apply(StreamEvent::kEnded);
  BOOST_TEST(!life.Apply(StreamEvent::kTokenDelivered));
  BOOST_TEST((life.state() == StreamState::kFinished));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
