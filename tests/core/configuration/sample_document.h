#pragma once

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootfork {

// The text of a worked example under examples/.
inline std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(TEST_DATA_DIR) + "/../../../examples/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The quick start's document, to be changed by a test.
inline nlohmann::json SampleDocument() {
  return nlohmann::json::parse(ReadExample("quickstart.json"));
}

}  // namespace coltsfootfork
