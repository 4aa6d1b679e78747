// Prints what the replicated log costs on disk, at a restart and when idle.
// Usage: replication_costs FOLDER (on the disk to measure; must not exist yet)

#include <cstddef>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "idle_cost.h"
#include "storage_cost.h"

namespace coltsfootfork {
namespace {

constexpr std::size_t kChanges = 1000;
// About what a claim, a small delta and a large delta take.
constexpr std::size_t kChangeBytes[] = {100, 300, 2000};
// A configuration of 1,700 workspaces and 870 engines as one document.
constexpr std::size_t kSnapshotBytes = 500000;

void PrintStorage(const std::string& folder) {
  std::cout << kChanges << " changes, each synced\n\n"
            << "| bytes per change | snapshot | log bytes per change | folder "
               "bytes | median write us | restart us |\n"
            << "| ---: | --- | ---: | ---: | ---: | ---: |\n";
  int number = 0;
  for (const std::size_t bytes : kChangeBytes) {
    for (const bool with_snapshot : {false, true}) {
      const std::string one = folder + "/" + std::to_string(++number);
      const StorageCost cost = MeasureStorageCost(
          one, kChanges, bytes, with_snapshot, kSnapshotBytes);
      std::cout << "| " << bytes << " | "
                << (with_snapshot ? "500 kB after 900" : "none") << " | ";
      if (with_snapshot) {
        std::cout << "-";
      } else {
        std::cout << cost.log_bytes_per_change;
      }
      std::cout << " | " << cost.folder_bytes << " | "
                << cost.median_write.count() << " | " << cost.restart.count()
                << " |\n";
    }
  }
}

void PrintIdle() {
  std::cout << "\nAn idle group, at its leader, both ways\n\n"
            << "| voters | messages/s | bytes/s |\n| ---: | ---: | ---: |\n";
  for (const std::size_t voters : {1U, 3U, 5U, 7U}) {
    const IdleCost cost = MeasureIdleCost(voters);
    std::cout << "| " << voters << " | " << cost.messages_per_second << " | "
              << cost.bytes_per_second << " |\n";
  }
}

}  // namespace
}  // namespace coltsfootfork

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: replication_costs FOLDER\n";
    return 2;
  }
  try {
    const std::string folder = argv[1];
    std::filesystem::create_directory(folder);
    coltsfootfork::PrintStorage(folder);
    coltsfootfork::PrintIdle();
    std::filesystem::remove_all(folder);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
