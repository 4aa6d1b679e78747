#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "adapters/adapter_fixture.h"

namespace coltsfootfork {
namespace {

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target + " HTTP/1.1\r\nConnection: close\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kBadRequest = "HTTP/1.1 400 ";

BOOST_FIXTURE_TEST_CASE(NewIncarnationIsAnnounced, AdapterFixture) {
  Announce("127.0.0.1:9", 1);
  Announce("127.0.0.1:9", 2);
  const auto announced = Received<EngineAnnouncement>();
  BOOST_REQUIRE(announced.size() == 2U);
  BOOST_TEST(announced[0].incarnation == 1U);
  BOOST_TEST(announced[1].incarnation == 2U);
  BOOST_TEST(findings.empty());
}

BOOST_FIXTURE_TEST_CASE(MalformedCallIsRejectedAndReported, AdapterFixture) {
  const std::string malformed_calls[] = {
      Post("/engine/v1/announce", "{"),
      Post("/engine/v1/load", std::string(3000, '[')),
      Post("/engine/v1/cache-events", R"({"sequence":-1})"),
      Post("/engine/v1/unknown", "{}"),
      Post("/engine/v1/load", std::string(5000, ' ')),
      "GET /engine/v1/load HTTP/1.1\r\nConnection: close\r\n\r\n",
      "\x16\x03\x01 no HTTP\r\n\r\n",
      "POST / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
  };
  for (const std::string& bytes : malformed_calls) {
    findings.clear();
    const std::string response = CallPort(bytes);
    BOOST_TEST(response.substr(0, kBadRequest.size()) == kBadRequest,
               bytes.substr(0, 40) << " got " << response.substr(0, 40));
    BOOST_TEST(response.find(R"("reason":"bad_request")") != std::string::npos);
    BOOST_TEST(!findings.empty());
  }
  BOOST_TEST(messages.empty());
  Announce("127.0.0.1:9");
  BOOST_TEST(messages.size() == 1U);
}

// Guards against a call in the body of another one that takes effect.
BOOST_FIXTURE_TEST_CASE(BodyWithoutKnownEndIsNotReadAsCalls, AdapterFixture) {
  const std::string inner = Post(
      "/engine/v1/load",
      R"({"running_requests":1,"waiting_requests":2,"memory_used_tokens":3,)"
      R"("preemptions":4})");
  for (const char* coding : {"gzip", "gzip, chunked", "chunked, identity"}) {
    const std::string response =
        CallPort(std::string("POST /engine/v1/load HTTP/1.1\r\n"
                             "Transfer-Encoding: ") +
                 coding + "\r\n\r\n" + inner);
    BOOST_TEST(response.substr(0, kBadRequest.size()) == kBadRequest);
  }
  BOOST_TEST(messages.empty());
}

BOOST_FIXTURE_TEST_CASE(MutatedCallsNeverStopThePort, AdapterFixture) {
  const std::string valid_call = Post(
      "/engine/v1/load",
      R"({"running_requests":1,"waiting_requests":2,"memory_used_tokens":3,)"
      R"("preemptions":4})");
  std::mt19937_64 random(7);
  for (int round = 0; round < 300; ++round) {
    std::string bytes = valid_call;
    bytes.at(random() % bytes.size()) = static_cast<char>(random());
    // The padding completes calls whose mutated header announces a longer
    // request.
    CallPort(bytes + std::string(9000, '\n'));
  }
  Announce("127.0.0.1:9");
  BOOST_TEST(Received<EngineAnnouncement>().size() == 1U);
}

}  // namespace
}  // namespace coltsfootfork
