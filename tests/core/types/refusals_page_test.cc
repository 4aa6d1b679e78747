#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "coltsfootfork/core/types/reason.h"

namespace coltsfootfork {
namespace {

std::string ReadPage() {
  const std::ifstream file(std::string(TEST_DATA_DIR) +
                           "/../../../docs/operators/refusals.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

BOOST_AUTO_TEST_CASE(EveryReasonHasARowOnTheRefusalsPage) {
  const std::string page = ReadPage();
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    const std::string name(ReasonName(static_cast<Reason>(i)));
    BOOST_TEST(page.find("\n| `" + name + "` | ") != std::string::npos,
               "no line for " << name);
  }
}

}  // namespace
}  // namespace coltsfootfork
