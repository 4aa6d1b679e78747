#include "wire/envelope.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

namespace coltsfootfork {
namespace {

Envelope SampleDispatch() {
  Dispatch dispatch;
  dispatch.request = RequestId("e1-7");
  dispatch.generation = 3;
  dispatch.rank = Rank::kUrgent;
  dispatch.prefix_blocks = {1, 0xffffffffffffffffULL};
  dispatch.start_within = std::chrono::milliseconds(250);
  return {12, EntryToAgent(dispatch)};
}

BOOST_AUTO_TEST_CASE(DispatchRoundTrips) {
  const DecodedEnvelope decoded =
      DecodeEnvelope(EncodeEnvelope(SampleDispatch()));
  BOOST_REQUIRE(decoded.envelope.has_value());
  BOOST_TEST(decoded.envelope->revision == 12U);
  const auto& dispatch =
      std::get<Dispatch>(std::get<EntryToAgent>(decoded.envelope->payload));
  BOOST_TEST(dispatch.request.value() == "e1-7");
  BOOST_TEST(dispatch.generation == 3U);
  BOOST_TEST((dispatch.rank == Rank::kUrgent));
  BOOST_TEST(dispatch.prefix_blocks.at(1) == 0xffffffffffffffffULL);
  BOOST_TEST(dispatch.start_within.count() == 250);
}

BOOST_AUTO_TEST_CASE(BinaryPayloadRoundTrips) {
  const std::string bytes("\x00\xff\x01", 3);
  const DecodedEnvelope decoded =
      DecodeEnvelope(EncodeEnvelope({1, ControlRequestFrame{9, bytes}}));
  BOOST_REQUIRE(decoded.envelope.has_value());
  const auto& call = std::get<ControlRequestFrame>(decoded.envelope->payload);
  BOOST_TEST(call.call == 9U);
  BOOST_TEST(call.request == bytes);
}

std::string WithField(const std::string& name, const nlohmann::json& value) {
  nlohmann::json j =
      nlohmann::json::from_cbor(EncodeEnvelope(SampleDispatch()));
  j[name] = value;
  std::string bytes;
  nlohmann::json::to_cbor(j, bytes);
  return bytes;
}

BOOST_AUTO_TEST_CASE(UnknownFieldIsSkipped) {
  BOOST_TEST(
      (DecodeEnvelope(WithField("later", 1)).error == EnvelopeError::kNone));
}

BOOST_AUTO_TEST_CASE(UnknownVersionAndKindAreDistinguished) {
  BOOST_TEST((DecodeEnvelope(WithField("v", 2)).error ==
              EnvelopeError::kUnknownVersion));
  BOOST_TEST((DecodeEnvelope(WithField("kind", "later")).error ==
              EnvelopeError::kUnknownKind));
}

BOOST_AUTO_TEST_CASE(MutatedFramesNeverThrow) {
  constexpr int kMutatedFrames = 20000;
  const std::string valid_frame = EncodeEnvelope(SampleDispatch());
  std::mt19937 random(4711);
  int rejected = 0;
  for (int i = 0; i < kMutatedFrames; ++i) {
    std::string bytes = valid_frame;
    for (int mutations = 1 + static_cast<int>(random() % 3); mutations > 0;
         --mutations) {
      bytes.at(random() % bytes.size()) = static_cast<char>(random());
    }
    bytes.resize(random() % 4 == 0 ? random() % bytes.size() : bytes.size());
    if (DecodeEnvelope(bytes).error != EnvelopeError::kNone) ++rejected;
  }
  BOOST_TEST(rejected > kMutatedFrames / 4);
}

}  // namespace
}  // namespace coltsfootfork
