#pragma once

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootfork {

// Returns the text of an example document under examples/.
inline std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(TEST_DATA_DIR) + "/../../../examples/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the quick start's document for a test to modify.
inline nlohmann::json SampleDocument() {
  return nlohmann::json::parse(ReadExample("quickstart.json"));
}

}  // namespace coltsfootfork
