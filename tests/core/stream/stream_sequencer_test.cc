#include "coltsfootfork/core/stream/stream_sequencer.h"

#include <boost/test/unit_test.hpp>

#include "coltsfootfork/core/stream/stored_generation.h"

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_SUITE(StreamSequencerTest)

BOOST_AUTO_TEST_CASE(ForwardsOnlyTheNextIndexOfTheLiveGeneration) {
  StreamSequencer sequencer;
  BOOST_TEST((sequencer.Accept(1, 0) == FrameVerdict::kStale));
  BOOST_TEST(sequencer.StartNextGeneration());
  BOOST_TEST((sequencer.Accept(1, 1) == FrameVerdict::kGap));
  BOOST_TEST(sequencer.StartNextGeneration());
  BOOST_TEST((sequencer.Accept(1, 0) == FrameVerdict::kStale));
  BOOST_TEST((sequencer.Accept(2, 0) == FrameVerdict::kForward));
  BOOST_TEST((sequencer.Accept(2, 0) == FrameVerdict::kDuplicate));
  BOOST_TEST((sequencer.Accept(2, 1) == FrameVerdict::kForward));
  BOOST_TEST((sequencer.Accept(3, 2) == FrameVerdict::kStale));
  BOOST_TEST(sequencer.next_index() == 2U);
}

BOOST_AUTO_TEST_CASE(StartedStreamKeepsItsGeneration) {
  StreamSequencer sequencer;
  sequencer.StartNextGeneration();
  sequencer.Accept(1, 0);
  BOOST_TEST(!sequencer.StartNextGeneration());
  BOOST_TEST(sequencer.generation() == 1U);
}

BOOST_AUTO_TEST_CASE(StoredGenerationRoundTrips) {
  const StoredGeneration generation{"ruana \"roja\"", "stop", 3};
  const auto unpacked = UnpackGeneration(PackGeneration(generation));
  BOOST_REQUIRE(unpacked.has_value());
  BOOST_TEST(unpacked->text == generation.text);
  BOOST_TEST(unpacked->finish_reason == "stop");
  BOOST_TEST(unpacked->token_count == 3U);
  BOOST_TEST(!UnpackGeneration({200, "application/json", "{}"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace coltsfootfork
