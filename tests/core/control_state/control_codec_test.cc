#include "coltsfootfork/core/control_state/control_codec.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

std::vector<ControlRequest> SampleRequests() {
  ClaimBegin begin{{WorkspaceId("ws"), "key"}, "digest", RequestId("r1")};
  ClaimSettle settle{
      begin.claim, begin.request, ClaimOutcome::kNotRun, {201, "text", "\xff"}};
  PutConfiguration put{7, "change", "[]", true, "digest"};
  RenewLease renew;
  renew.process = ProcessId("agent-1");
  renew.incarnation = ~std::uint64_t{0};
  renew.services = {ServiceId("a"), ServiceId("b")};
  renew.draining = true;
  return {begin, settle, put, renew, FetchState{3, 4, true}, ReadStatus{}};
}

std::vector<ControlReply> SampleReplies() {
  PutConfigurationReply put;
  put.verdict = PutVerdict::kConflict;
  put.revision = 9;
  put.findings = {{"/rules", "must be an object"}};
  FetchStateReply fetch;
  fetch.current = true;
  fetch.directory.resize(2);
  ReadStatusReply status;
  status.processes.resize(1);
  status.processes[0].lease_left = milliseconds(1500);
  return {ClaimBeginReply{ClaimVerdict::kDone, {200, "t", "body"}, ""},
          ClaimSettleReply{true},
          put,
          RenewLeaseReply{},
          fetch,
          status};
}

BOOST_AUTO_TEST_CASE(RequestsAndRepliesRoundTrip) {
  for (const ControlRequest& request : SampleRequests()) {
    const std::string bytes = EncodeControlRequest(request);
    const auto decoded = DecodeControlRequest(bytes);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->index() == request.index());
    BOOST_TEST(EncodeControlRequest(*decoded) == bytes);
  }
  for (const ControlReply& reply : SampleReplies()) {
    const std::string bytes = EncodeControlReply(reply);
    const auto decoded = DecodeControlReply(bytes);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->index() == reply.index());
    BOOST_TEST(EncodeControlReply(*decoded) == bytes);
  }
}

BOOST_AUTO_TEST_CASE(ACommandRoundTripKeepsTimeAndRequest) {
  const ControlCommand command{milliseconds(1234567), SampleRequests()[1]};
  const auto decoded = DecodeControlCommand(EncodeControlCommand(command));
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->at == command.at));
  const auto& settle = std::get<ClaimSettle>(decoded->request);
  BOOST_TEST((settle.outcome == ClaimOutcome::kNotRun));
  BOOST_TEST(settle.answer.status == 201);
  BOOST_TEST(settle.answer.body == "\xff");
}

BOOST_AUTO_TEST_CASE(UnknownFieldsAreSkippedAndWrongTypesRefused) {
  auto json =
      nlohmann::json::from_cbor(EncodeControlRequest(FetchState{3, 4, true}));
  const auto decode = [&json] {
    const auto bytes = nlohmann::json::to_cbor(json);
    return DecodeControlRequest(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  };
  json["of_a_later_version"] = {1, 2};
  json.erase("have_directory");
  BOOST_TEST_REQUIRE(decode().has_value());
  BOOST_TEST(std::get<FetchState>(*decode()).have_revision == 3U);
  BOOST_TEST(std::get<FetchState>(*decode()).have_directory == 0U);
  json["have_revision"] = -1;
  BOOST_TEST(!decode().has_value());
  json["have_revision"] = 3;
  json["type"] = "unknown";
  BOOST_TEST(!decode().has_value());
}

BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  BOOST_TEST(!DecodeControlRequest(std::string(1000000, '\x81')).has_value());
  BOOST_TEST(!DecodeControlReply(std::string(1000000, '\xa1')).has_value());
}

// If a mutated message decodes, the re-encoded message must decode again.
BOOST_AUTO_TEST_CASE(MutatedMessagesNeverCrash) {
  std::mt19937 random(20261204);
  const auto requests = SampleRequests();
  const auto replies = SampleReplies();
  std::size_t refused = 0;
  constexpr std::size_t kRounds = 20000;
  for (std::size_t round = 0; round < kRounds; ++round) {
    const std::size_t kind = round % requests.size();
    const bool reply = random() % 2 == 0;
    std::string bytes = reply ? EncodeControlReply(replies[kind])
                              : EncodeControlRequest(requests[kind]);
    for (unsigned i = 0; i <= random() % 3; ++i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    const auto request = DecodeControlRequest(bytes);
    const auto decoded_reply = DecodeControlReply(bytes);
    if (!request.has_value() && !decoded_reply.has_value()) ++refused;
    if (request.has_value()) {
      BOOST_TEST_REQUIRE(
          DecodeControlRequest(EncodeControlRequest(*request)).has_value());
    }
  }
  BOOST_TEST(refused > kRounds / 4);
}

}  // namespace
}  // namespace coltsfootfork
