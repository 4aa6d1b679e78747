#include "shell/log/event.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace coltsfootfork {
namespace {

// Returns the rows of the event catalogue, each as "NUMBER NAME".
std::set<std::string> CatalogueRows() {
  std::ifstream file(EVENT_CATALOGUE);
  std::set<std::string> rows;
  for (std::string line; std::getline(file, line);) {
    std::istringstream columns(line);
    std::string separator;
    std::string number;
    std::string name;
    columns >> separator >> number >> separator >> name;
    if (number.find_first_not_of("0123456789") != std::string::npos) continue;
    if (!number.empty()) rows.insert(number.append(" ").append(name));
  }
  return rows;
}

BOOST_AUTO_TEST_CASE(CatalogueAndCodeListTheSameEvents) {
  std::set<std::string> listed_events;
  for (const EventInfo& info : AllEvents()) {
    listed_events.insert(std::to_string(static_cast<int>(info.event)) + " " +
                         std::string(info.name));
  }
  const std::set<std::string> rows = CatalogueRows();
  BOOST_CHECK_EQUAL_COLLECTIONS(rows.begin(), rows.end(), listed_events.begin(),
                                listed_events.end());
}

}  // namespace
}  // namespace coltsfootfork
