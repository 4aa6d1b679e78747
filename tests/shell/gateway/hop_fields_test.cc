#include "shell/gateway/hop_fields.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(FieldsOfOneConnectionAreNotPassedOn) {
  const std::vector<HttpField> kept =
      EndToEndFields({{"Host", "a.example"},
                      {"connection", "keep-alive, X-Hop"},
                      {"x-hop", "1"},
                      {"Keep-Alive", "timeout=5"},
                      {"Transfer-Encoding", "chunked"},
                      {"Content-Length", "3"},
                      {"X-Kept", "2"}});
  BOOST_REQUIRE(kept.size() == 2U);
  BOOST_TEST(kept[0].name == "Host");
  BOOST_TEST(kept[1].name == "X-Kept");
}

}  // namespace
}  // namespace coltsfootfork
