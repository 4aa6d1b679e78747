#include "coltsfootfork/core/stream/stream_state_machine.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_SUITE(StreamStateMachineTest)

BOOST_AUTO_TEST_CASE(VisitsEveryState) {
  StreamStateMachine machine;
  const auto apply_and_expect = [&](StreamEvent event, StreamState to) {
    BOOST_TEST(machine.Apply(event));
    BOOST_TEST((machine.state() == to));
  };
  BOOST_TEST((machine.state() == StreamState::kWaiting));
  apply_and_expect(StreamEvent::kClaimRequested, StreamState::kClaiming);
  apply_and_expect(StreamEvent::kClaimGranted, StreamState::kWaiting);
  apply_and_expect(StreamEvent::kRequestDispatched, StreamState::kDispatched);
  apply_and_expect(StreamEvent::kRequestWithdrawn, StreamState::kWaiting);
  apply_and_expect(StreamEvent::kRequestDispatched, StreamState::kDispatched);
  apply_and_expect(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  apply_and_expect(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  apply_and_expect(StreamEvent::kResumeRequested, StreamState::kResuming);
  apply_and_expect(StreamEvent::kResumeRequested, StreamState::kResuming);
  apply_and_expect(StreamEvent::kTokenDelivered, StreamState::kStreaming);
  apply_and_expect(StreamEvent::kEnded, StreamState::kFinished);
}

BOOST_AUTO_TEST_CASE(StartedStreamIsNeverWithdrawn) {
  StreamStateMachine machine;
  machine.Apply(StreamEvent::kRequestDispatched);
  machine.Apply(StreamEvent::kTokenDelivered);
  BOOST_TEST(!machine.Apply(StreamEvent::kRequestWithdrawn));
  BOOST_TEST(!machine.Apply(StreamEvent::kRequestDispatched));
  BOOST_TEST((machine.state() == StreamState::kStreaming));
  machine.Apply(StreamEvent::kEnded);
  BOOST_TEST(!machine.Apply(StreamEvent::kTokenDelivered));
  BOOST_TEST((machine.state() == StreamState::kFinished));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
