#include "storage_cost.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "coltsfootfork/shell/storage/disk_log.h"

namespace coltsfootfork {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr Duration kTick = std::chrono::milliseconds(50);

std::unique_ptr<DiskLog> OpenLog(const std::string& folder) {
  DiskLogOptions options;
  options.folder = folder;
  auto log = DiskLog::Open(options);
  if (!log) throw std::runtime_error("cannot open the data folder");
  return std::move(log.value());
}

// One replica that is its whole group, on a real disk, in simulated time.
class SingleReplica {
 public:
  explicit SingleReplica(const std::string& folder)
      : log_(OpenLog(folder)),
        replica_(Options(), log_->TakeRecovered(), 1, now_) {}

  void RunUntilLeading() {
    while (!replica_.HoldsLease(now_)) {
      now_ += kTick;
      Carry(replica_.Tick(now_));
    }
  }
  void Handle(const ReplicaInput& input) {
    Carry(replica_.Handle(input, now_));
  }
  std::size_t applied() const { return applied_; }
  LogIndex commit_index() const { return replica_.commit_index(); }
  std::uint64_t BytesOnDisk() const { return log_->BytesOnDisk(); }

 private:
  static ReplicaOptions Options() {
    ReplicaOptions options;
    options.self = ProcessId("single");
    options.seeds = {options.self};
    return options;
  }

  void Carry(const std::vector<ReplicaEffect>& effects) {
    for (const ReplicaEffect& effect : effects) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        if (!log_->Write(*persist)) throw std::runtime_error("cannot write");
        Handle(PersistDone{persist->token});
      } else if (std::holds_alternative<ApplyCommand>(effect) ||
                 std::holds_alternative<ApplySnapshot>(effect)) {
        ++applied_;
      }
    }
  }

  std::unique_ptr<DiskLog> log_;
  Time now_ = Time(std::chrono::hours(1));
  std::size_t applied_ = 0;
  Replica replica_;
};

microseconds Since(Clock::time_point start) {
  return std::chrono::duration_cast<microseconds>(Clock::now() - start);
}

void WriteChanges(SingleReplica& replica, std::size_t changes,
                  std::size_t change_bytes, std::vector<microseconds>& times) {
  for (std::size_t i = 0; i < changes; ++i) {
    const auto start = Clock::now();
    replica.Handle(Propose{i + 1, std::string(change_bytes, 'c')});
    times.push_back(Since(start));
  }
}

}  // namespace

StorageCost MeasureStorageCost(const std::string& folder, std::size_t changes,
                               std::size_t change_bytes, bool with_snapshot,
                               std::size_t snapshot_bytes) {
  StorageCost cost;
  std::vector<microseconds> times;
  {
    SingleReplica replica(folder);
    replica.RunUntilLeading();
    const std::uint64_t before = replica.BytesOnDisk();
    const std::size_t tail = changes / 10;
    WriteChanges(replica, changes - tail, change_bytes, times);
    if (with_snapshot) {
      replica.Handle(SnapshotTaken{replica.commit_index(),
                                   std::string(snapshot_bytes, 's')});
    }
    WriteChanges(replica, tail, change_bytes, times);
    cost.folder_bytes = replica.BytesOnDisk();
    cost.log_bytes_per_change =
        static_cast<double>(cost.folder_bytes - before) /
        static_cast<double>(changes);
  }
  std::sort(times.begin(), times.end());
  cost.median_write = times[times.size() / 2];
  const auto start = Clock::now();
  SingleReplica again(folder);
  again.RunUntilLeading();
  cost.restart = Since(start);
  return cost;
}

}  // namespace coltsfootfork
