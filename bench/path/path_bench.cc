#include "path/path_bench.h"

#include <iostream>
#include <string>

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "streams") {
    coltsfootfork::MeasureStreams();
    return 0;
  }
  if (what == "idle") {
    coltsfootfork::MeasureIdleAndChanges();
    return 0;
  }
  std::cerr << "usage: path_bench streams|idle\n";
  return 2;
}
