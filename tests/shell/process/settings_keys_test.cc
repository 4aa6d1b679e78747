#include "shell/process/settings_keys.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <string>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(OperatorsPageAndTableListTheSameKeys) {
  std::set<std::string> keys;
  for (const ConfigurationKey& key : SettingsKeys()) {
    if (!key.path.empty()) keys.insert(std::string(key.path));
  }
  std::set<std::string> rows;
  std::ifstream page(SETTINGS_PAGE);
  for (std::string line; std::getline(page, line);) {
    if (line.rfind("| `/", 0) != 0) continue;
    rows.insert(line.substr(3, line.find('`', 3) - 3));
  }
  BOOST_CHECK_EQUAL_COLLECTIONS(rows.begin(), rows.end(), keys.begin(),
                                keys.end());
}

}  // namespace
}  // namespace coltsfootfork
