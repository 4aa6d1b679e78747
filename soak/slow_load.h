#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/slow_caller.h"
#include "soak/slow_servers.h"
#include "soak/soak_fleet.h"

namespace coltsfootfork {

// Callers and servers that read slowly or not at all, beside the other callers.
// Checks that the entries pass on whole responses to steady callers and that
// their memory stays below what the settings name. No faults are injected on
// the way to these servers and entries.
class SlowLoad {
 public:
  SlowLoad(boost::asio::io_context& io, SoakFleet& fleet);

  void Start();
  void Stop();
  // Returns the next heartbeats of the servers as JSON, by server.
  std::map<std::string, std::string> Heartbeats();
  // Reads the peak memory of each entry that runs.
  void CheckMemory();

  // Whole responses to steady callers and uploads, by kind of call.
  std::map<SlowCallKind, int> served() const;
  std::int64_t peak_memory_kb() const { return peak_memory_kb_; }
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  SoakFleet& fleet_;
  BulkServer bulk_;
  SlowReadingServer uploads_;
  std::vector<std::unique_ptr<SlowCaller>> callers_;
  std::uint64_t sequence_ = 0;
  std::int64_t peak_memory_kb_ = 0;
  bool exceeds_memory_ = false;
  std::vector<std::string> findings_;
};

}  // namespace coltsfootfork
