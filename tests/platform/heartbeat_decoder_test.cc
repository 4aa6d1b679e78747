#include "heartbeat_decoder.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace coltsfootfork::platform {
namespace {

using nlohmann::json;

json Heartbeat() {
  return {{"service", "model"},    {"address", "10.128.0.9:8080"},
          {"zone", "catania"},     {"version", "v1"},
          {"slots", 24},           {"state", "ready"},
          {"cold_left_ms", 700},   {"stage", "prefill_decode"},
          {"sequence", 4},         {"born", 1767345643460},
          {"a later field", "new"}};
}

bool IsValid(const json& heartbeat) {
  Findings findings;
  const auto record = DecodeHeartbeat("i-1", heartbeat.dump(), findings);
  BOOST_TEST(record.has_value() == findings.empty());
  return record.has_value();
}

BOOST_AUTO_TEST_CASE(ValidHeartbeatIsDecoded) {
  Findings findings;
  const auto record = DecodeHeartbeat("i-1", Heartbeat().dump(), findings);
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->id == ServerId("i-1"));
  BOOST_TEST(record->incarnation == 1767345643460U);
  BOOST_TEST(record->sequence == 4U);
  BOOST_TEST(record->slots == 24U);
  BOOST_CHECK(record->state == ServerState::kReady);
  BOOST_CHECK(record->warmup_remaining == std::chrono::milliseconds(700));
}

BOOST_AUTO_TEST_CASE(InvalidHeartbeatsAreRefused) {
  for (const char* field : {"service", "address", "state", "sequence"}) {
    json missing = Heartbeat();
    missing.erase(field);
    BOOST_TEST(!IsValid(missing), field);
    json wrong_type = Heartbeat();
    wrong_type[field] = json::array({1});
    BOOST_TEST(!IsValid(wrong_type), field);
  }
  json unknown_state = Heartbeat();
  unknown_state["state"] = "resting";
  BOOST_TEST(!IsValid(unknown_state));
  json invalid_address = Heartbeat();
  invalid_address["address"] = "somewhere";
  BOOST_TEST(!IsValid(invalid_address));
  json negative = Heartbeat();
  negative["sequence"] = -4;
  BOOST_TEST(!IsValid(negative));
}

BOOST_AUTO_TEST_CASE(MalformedHeartbeatsAreRefused) {
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"),
        std::string("\x00\xff", 2), std::string("null")}) {
    Findings findings;
    BOOST_TEST(!DecodeHeartbeat("i-1", body, findings).has_value());
    BOOST_TEST(!findings.empty());
  }
}

BOOST_AUTO_TEST_CASE(DeregistrationMayContainItsIncarnation) {
  BOOST_TEST(DecodeDeregistration(R"({"born": 12})") == 12U);
  BOOST_TEST(DecodeDeregistration("") == 0U);
  BOOST_TEST(DecodeDeregistration(R"({"born": "x"})") == 0U);
  BOOST_TEST(DecodeDeregistration("[1]") == 0U);
}

}  // namespace
}  // namespace coltsfootfork::platform
