#include "adapters/engine_decoders.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootfork {
namespace {

const std::string kAnnounce =
    R"({"server":"e1","incarnation":18446744073709551615,)"
    R"("address":"127.0.0.1:80","services":["a","b"],"memory_tokens":9,)"
    R"("max_batch":4,"can_resume":true,"checks_fence":false,"leaving":true})";
const std::string kLoad =
    R"({"running_requests":1,"waiting_requests":2,"memory_used_tokens":3,)"
    R"("preemptions":4})";
const std::string kCacheEvents =
    R"({"sequence":7,"added_blocks":[18446744073709551615],)"
    R"("removed_blocks":[]})";
const std::string kToken = R"({"index":3,"text":"a \u20ac"})";
const std::string kFinished = R"({"finish_reason":"stop","token_count":4})";

BOOST_AUTO_TEST_CASE(CompleteBodiesAreDecoded) {
  Findings findings;
  const auto announced = DecodeAnnounce(kAnnounce, &findings);
  BOOST_REQUIRE(announced);
  BOOST_TEST(announced->address == "127.0.0.1:80");
  BOOST_TEST(announced->message.incarnation == ~std::uint64_t{0});
  BOOST_TEST(announced->message.services.size() == 2U);
  BOOST_TEST(announced->message.draining);
  BOOST_TEST(DecodeLoad(kLoad, &findings)->preemptions == 4U);
  BOOST_TEST(DecodeCacheEvents(kCacheEvents, &findings)->sequence == 7U);
  const auto token = DecodeStreamEvent(kToken, &findings);
  BOOST_TEST(std::get<StreamToken>(*token).text == "a \xe2\x82\xac");
  const auto end = DecodeStreamEvent(kFinished, &findings);
  BOOST_TEST(std::get<StreamFinished>(*end).token_count == 4U);
  BOOST_TEST(findings.empty());
}

BOOST_AUTO_TEST_CASE(AllErrorsOfABodyAreReportedTogether) {
  Findings findings;
  BOOST_TEST(!DecodeAnnounce(R"({"server":1,"incarnation":-1,"address":"x",)"
                             R"("services":[7],"max_batch":4294967296})",
                             &findings));
  std::string places;
  for (const Finding& finding : findings.list()) places += finding.place;
  BOOST_TEST(places ==
             "/server/incarnation/services/memory_tokens/max_batch"
             "/can_resume/checks_fence/leaving");
}

BOOST_AUTO_TEST_CASE(AddressThatIsNotIpAndPortIsReported) {
  for (const char* address : {"host:80", "127.0.0.1", "127.0.0.1:0",
                              "127.0.0.1:65536", "127.0.0.1:8x", ":80"}) {
    std::string body = kAnnounce;
    body.replace(body.find("127.0.0.1:80"), 12, address);
    Findings findings;
    BOOST_TEST(!DecodeAnnounce(body, &findings), address);
    BOOST_TEST(findings.list().at(0).place == "/address");
  }
}

BOOST_AUTO_TEST_CASE(OnlyTrueMeansNotRun) {
  BOOST_TEST(ReportsNotRun(R"({"not_run":true})"));
  for (const char* body : {"", "true", "{}", R"({"not_run":false})",
                           R"({"not_run":"true"})", R"({"not_run":1})"}) {
    BOOST_TEST(!ReportsNotRun(body), body);
  }
}

BOOST_AUTO_TEST_CASE(MalformedOrderResultCountsAsNotApplied) {
  BOOST_TEST(DecodeOrderResult({1, 2}, R"({"applied":true})").applied);
  BOOST_TEST(!DecodeOrderResult({1, 2}, "<html>").applied);
}

// A decoder either decodes a body or reports a finding, never both or neither.
BOOST_AUTO_TEST_CASE(MutatedBodiesAreDecodedOrReported) {
  using Decoder = std::function<bool(std::string_view, Findings*)>;
  const std::vector<std::pair<std::string, Decoder>> decoders = {
      {kAnnounce, [](auto body, auto* f) { return !!DecodeAnnounce(body, f); }},
      {kLoad, [](auto body, auto* f) { return !!DecodeLoad(body, f); }},
      {kCacheEvents,
       [](auto body, auto* f) { return !!DecodeCacheEvents(body, f); }},
      {kToken, [](auto body, auto* f) { return !!DecodeStreamEvent(body, f); }},
      {kFinished,
       [](auto body, auto* f) { return !!DecodeStreamEvent(body, f); }}};
  std::mt19937_64 random(20261204);
  for (const auto& [valid_body, decode] : decoders) {
    int reported = 0;
    for (int round = 0; round < 5000; ++round) {
      std::string body = valid_body;
      for (std::size_t i = 0; i <= random() % 3; ++i) {
        const std::size_t at = random() % body.size();
        const auto byte = static_cast<char>(random());
        if (random() % 3 == 0) body.resize(at + 1);
        if (random() % 3 == 0) body.insert(at, 1, byte);
        body.at(at) = byte;
      }
      Findings findings;
      const bool read = decode(body, &findings);
      BOOST_REQUIRE(read == findings.empty());
      reported += read ? 0 : 1;
    }
    BOOST_TEST(reported > 2500);
  }
}

}  // namespace
}  // namespace coltsfootfork
