#pragma once

#include <cstdint>
#include <sstream>
#include <string>

namespace coltsfootfork {

// State machine for tests: one register with a revision. The command "E N" sets
// the register to N if its revision is E.
struct TestRegister {
  std::uint64_t revision = 0;
  std::uint64_t value = 0;

  // True when the command took effect.
  bool Apply(const std::string& command) {
    std::istringstream input(command);
    std::uint64_t expected = 0;
    std::uint64_t next = 0;
    input >> expected >> next;
    if (expected != revision) return false;
    ++revision;
    value = next;
    return true;
  }
  std::string Save() const {
    return std::to_string(revision) + " " + std::to_string(value);
  }
  void Restore(const std::string& bytes) {
    std::istringstream input(bytes);
    input >> revision >> value;
  }
};

}  // namespace coltsfootfork
