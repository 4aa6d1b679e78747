#include "coltsfootfork/core/fleet/fleet_message.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

ServerRecord Record() {
  ServerRecord record;
  record.id = ServerId("i-1");
  record.incarnation = 1767345643460;
  record.sequence = 9;
  record.service = ServiceId("model");
  record.address = "10.0.0.1:80";
  record.zone = ZoneId("z");
  record.slots = 24;
  record.state = ServerState::kDraining;
  record.warmup_remaining = std::chrono::milliseconds(700);
  return record;
}

BOOST_AUTO_TEST_CASE(DirectoryUpdateRoundTrip) {
  const auto decoded =
      DecodeFleetMessage(EncodeFleetMessage(DirectoryUpdate{5, {Record()}}));
  BOOST_REQUIRE(decoded.has_value());
  const auto& update = std::get<DirectoryUpdate>(*decoded);
  BOOST_TEST(update.token == 5U);
  BOOST_REQUIRE(update.records.size() == 1U);
  BOOST_TEST(update.records[0].id == ServerId("i-1"));
  BOOST_TEST(update.records[0].incarnation == 1767345643460U);
  BOOST_CHECK(update.records[0].state == ServerState::kDraining);
  BOOST_CHECK(update.records[0].warmup_remaining ==
              std::chrono::milliseconds(700));
}

BOOST_AUTO_TEST_CASE(PlanDocumentRoundTripsArbitraryBytes) {
  const std::string text("\x00\xff{}", 4);
  const auto decoded =
      DecodeFleetMessage(EncodeFleetMessage(PlanDocument{7, text}));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(std::get<PlanDocument>(*decoded).version == 7U);
  BOOST_TEST(std::get<PlanDocument>(*decoded).text == text);
}

BOOST_AUTO_TEST_CASE(EntryReportRoundTrip) {
  EntryReport report;
  report.is_primary = true;
  report.load = {{ServerId("i-1"), {3, 9000, 2000}}};
  report.crashes = {~std::uint64_t{0}, 2, 3};
  const auto decoded = DecodeFleetMessage(EncodeFleetMessage(report));
  BOOST_REQUIRE(decoded.has_value());
  const auto& decoded_report = std::get<EntryReport>(*decoded);
  BOOST_TEST(decoded_report.is_primary);
  BOOST_REQUIRE(decoded_report.load.size() == 1U);
  BOOST_TEST(decoded_report.load[0].load.pending_prefill_tokens == 2000U);
  BOOST_TEST(decoded_report.crashes == report.crashes);
}

BOOST_AUTO_TEST_CASE(MalformedBytesAreRejected) {
  const std::string encoded =
      EncodeFleetMessage(DirectoryUpdate{5, {Record()}});
  for (std::size_t length = 0; length < encoded.size(); ++length) {
    BOOST_TEST(!DecodeFleetMessage(encoded.substr(0, length)).has_value());
  }
  BOOST_TEST(!DecodeFleetMessage("").has_value());
  BOOST_TEST(!DecodeFleetMessage("no CBOR at all").has_value());
}

}  // namespace
}  // namespace coltsfootfork
