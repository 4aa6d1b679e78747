#include <fstream>
#include <iostream>

#include "core/replay/recorded_entry.h"

// Records the traces of tests/core/replay/traces again into the given folder.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: record_traces FOLDER\n";
    return 2;
  }
  for (const auto& scenario : coltsfootfork::testing::RecordTraces()) {
    std::ofstream file(std::string(argv[1]) + "/" + scenario.name + ".jsonl");
    file << scenario.trace;
    if (!file.flush()) return 1;
  }
  return 0;
}
