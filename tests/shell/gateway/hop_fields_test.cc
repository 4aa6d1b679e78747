#include "shell/gateway/hop_fields.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(HopByHopFieldsAreRemoved) {
  const std::vector<HttpField> end_to_end =
      EndToEndFields({{"Host", "a.example"},
                      {"connection", "keep-alive, X-Hop"},
                      {"x-hop", "1"},
                      {"Keep-Alive", "timeout=5"},
                      {"Transfer-Encoding", "chunked"},
                      {"Content-Length", "3"},
                      {"X-Kept", "2"}});
  BOOST_REQUIRE(end_to_end.size() == 2U);
  BOOST_TEST(end_to_end[0].name == "Host");
  BOOST_TEST(end_to_end[1].name == "X-Kept");
}

}  // namespace
}  // namespace coltsfootfork
