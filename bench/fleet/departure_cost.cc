// Prints what the departures of a whole fleet of backend servers cost its
// control processes: the latency of the acknowledgement, bytes on disk and
// between processes, and the restart.
// Usage: departure_cost FOLDER (on the disk to measure; must not exist yet)

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "shell/clock/monotonic_now.h"
#include "shell/fleet/control_node.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

namespace fs = std::filesystem;
using boost::asio::ip::tcp;
using std::chrono::microseconds;

constexpr int kVoters = 3;
// The fleet that docs/CAPACITY.md designs for.
constexpr int kServers = 870;

std::string UnusedAddress() {
  boost::asio::io_context io;
  const tcp::acceptor acceptor(io, ParseEndpoint("127.0.0.1:0").value());
  return FormatEndpoint(acceptor.local_endpoint());
}

ServerRecord Server(int number, ServerState state) {
  ServerRecord record;
  record.id = ServerId("i-" + std::to_string(number));
  record.incarnation = 1767345643460;
  record.sequence = state == ServerState::kReady ? 1 : 2;
  record.service = ServiceId("model");
  record.address = "10.0.0.1:" + std::to_string(10000 + number);
  record.zone = ZoneId("zone-1");
  record.slots = 24;
  record.state = state;
  return record;
}

class DepartureCost {
 public:
  explicit DepartureCost(std::string folder) : folder_(std::move(folder)) {
    fs::create_directories(folder_);
    for (int i = 0; i < kVoters; ++i) addresses_.push_back(UnusedAddress());
  }

  void Start(bool is_first_start) {
    for (int i = 0; i < kVoters; ++i) {
      ControlNodeOptions options;
      options.self = addresses_[i];
      options.seeds = addresses_;
      options.data_folder = folder_ + "/" + std::to_string(i);
      options.is_first_start = is_first_start;
      options.seed = 11 + i;
      nodes_.push_back(
          std::make_unique<ControlNode>(io_, options, MonotonicNow()));
    }
  }
  void Stop() { nodes_.clear(); }

  void AwaitGroup() {
    bool accepted = false;
    while (!accepted) {
      bool done = false;
      nodes_[0]->PutPlan({1, "plan"}, [&](bool one) {
        accepted = one;
        done = true;
      });
      RunUntil([&] { return done; });
    }
  }
  void Announce() {
    for (int i = 0; i < kServers; ++i) {
      nodes_[0]->OnHeartbeat(Server(i, ServerState::kReady), [](bool) {});
    }
    RunUntil([&] {
      return nodes_[1]->directory().entries().size() == kServers &&
             nodes_[2]->directory().entries().size() == kServers;
    });
  }
  // Drains the servers, so many at a time. Returns the latencies of the
  // acknowledgements, sorted.
  std::vector<microseconds> Drain(int first, int end, int at_a_time) {
    std::vector<microseconds> latencies;
    int next = first;
    int open = 0;
    while (next < end || open > 0) {
      while (next < end && open < at_a_time) {
        ++open;
        const Time begin = MonotonicNow();
        nodes_[next % kVoters]->OnHeartbeat(
            Server(next, ServerState::kDraining), [&, begin](bool done) {
              if (!done) throw std::runtime_error("not acknowledged");
              latencies.push_back(std::chrono::duration_cast<microseconds>(
                  MonotonicNow() - begin));
              --open;
            });
        ++next;
      }
      io_.run_one();
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies;
  }
  std::uint64_t FileBytes() const {
    return fs::file_size(folder_ + "/0/departures");
  }
  std::uint64_t SentBytes() const {
    std::uint64_t bytes = 0;
    for (const auto& [name, value] : nodes_[0]->MetricValues()) {
      if (name.find("directory_news") != std::string::npos &&
          name.find("bytes") != std::string::npos) {
        bytes += value;
      }
    }
    return bytes;
  }
  std::size_t Departures() const {
    return nodes_[0]->directory().Departures(MonotonicNow()).size();
  }
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) io_.run_one();
  }

 private:
  boost::asio::io_context io_{1};
  std::string folder_;
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<ControlNode>> nodes_;
};

void PrintLatencies(const std::string& name,
                    const std::vector<microseconds>& latencies) {
  std::cout << "| " << name << " | " << latencies.size() << " | "
            << latencies[latencies.size() / 2].count() << " | "
            << latencies[latencies.size() * 95 / 100].count() << " | "
            << latencies.back().count() << " |\n";
}

void Print(const std::string& folder) {
  constexpr int kSingle = 100;
  DepartureCost cost(folder);
  cost.Start(/*is_first_start=*/true);
  cost.AwaitGroup();
  cost.Announce();
  const std::uint64_t sent_before = cost.SentBytes();
  std::cout << "| drains | number | median us | 95 in 100 us | longest us |\n"
            << "| --- | ---: | ---: | ---: | ---: |\n";
  PrintLatencies("one at a time", cost.Drain(0, kSingle, 1));
  std::cout << "\nfile after " << kSingle << ": " << cost.FileBytes()
            << " bytes; sent by one process to its two peers: "
            << cost.SentBytes() - sent_before << " bytes\n\n";
  PrintLatencies("all others at once", cost.Drain(kSingle, kServers, kServers));
  std::cout << "\nfile after all " << kServers << ": " << cost.FileBytes()
            << " bytes\n";
  cost.Stop();
  const Time begin = MonotonicNow();
  cost.Start(/*is_first_start=*/false);
  const auto restart =
      std::chrono::duration_cast<microseconds>(MonotonicNow() - begin);
  std::cout << "restart of " << kVoters << " processes: " << restart.count()
            << " us; departures read: " << cost.Departures() << "\n";
}

}  // namespace
}  // namespace coltsfootfork

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: departure_cost FOLDER\n";
    return 1;
  }
  try {
    coltsfootfork::Print(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return 0;
}
