#include "coltsfootfork/core/metrics/value_text.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(ValuesGetPrefixAndTypeInNameOrder) {
  BOOST_TEST(ValueText({{"reads_total", 7}, {"peers", 2}}) ==
             "# TYPE coltsfootfork_peers gauge\n"
             "coltsfootfork_peers 2\n"
             "# TYPE coltsfootfork_reads_total counter\n"
             "coltsfootfork_reads_total 7\n");
}

}  // namespace
}  // namespace coltsfootfork
