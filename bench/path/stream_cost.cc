#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "path/path_bench.h"
#include "shell/net/ip_address.h"
#include "support/fleet.h"

namespace coltsfootfork {
namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;
using nlohmann::json;

constexpr int kTokens = 400;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;

// Counts token events of one answer and the times between them.
class TokenReader : public std::enable_shared_from_this<TokenReader> {
 public:
  TokenReader(boost::asio::io_context& io, const std::string& address,
              const std::string& request)
      : socket_(io), request_(request) {
    socket_.connect(ParseEndpoint(address).value());
    boost::asio::write(socket_, boost::asio::buffer(request_));
  }

  void Read() {
    auto self = shared_from_this();
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [self](boost::system::error_code error, std::size_t size) {
          if (error) return;
          self->Take(size);
          if (!self->whole() && !self->refused_) self->Read();
        });
  }

  // Whether every token came; a refused request has none.
  bool whole() const { return gaps.size() + 1 == kTokens; }

  std::vector<double> gaps;

 private:
  void Take(std::size_t size) {
    const std::string_view bytes(buffer_, size);
    refused_ = bytes.find("\"not_run\":") != bytes.npos;
    for (std::size_t at = bytes.find("\"text\":\""); at != bytes.npos;
         at = bytes.find("\"text\":\"", at + 1)) {
      const Clock::time_point now = Clock::now();
      if (last_) gaps.push_back(Milliseconds(now - *last_).count());
      last_ = now;
    }
  }

  boost::asio::ip::tcp::socket socket_;
  std::string request_;
  char buffer_[65536] = {};
  std::optional<Clock::time_point> last_;
  bool refused_ = false;
};

std::string RawRequest(const HttpRequest& request, int stream) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += "Host: local\r\nX-Request-Id: direct-" + std::to_string(stream) +
          "\r\nX-Generation: 1\r\n";
  for (const HttpField& field : request.fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(request.body.size());
  return text + "\r\n\r\n" + request.body;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double at = quantile * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(at)];
}

// Processor time that the entry and the agent have used, in microseconds.
double PathMicroseconds(Fleet& fleet) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return (fleet.process("entry-1").ProcessorTicks() +
          fleet.process("agent-1").ProcessorTicks()) *
         kMicrosecondsPerSecond / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void MeasureOne(Fleet& fleet, const std::string& name,
                const std::string& address, int streams) {
  const double processor = PathMicroseconds(fleet);
  boost::asio::io_context io;
  std::vector<std::shared_ptr<TokenReader>> readers;
  const Clock::time_point start = Clock::now();
  for (int i = 0; i < streams; ++i) {
    readers.push_back(std::make_shared<TokenReader>(
        io, address,
        RawRequest(CompletionRequest("mirror", kTokens, true), i)));
    readers.back()->Read();
  }
  io.run_for(std::chrono::seconds(60));
  const double seconds = Milliseconds(Clock::now() - start).count() / 1000;
  std::vector<double> gaps;
  int whole = 0;
  for (const auto& reader : readers) {
    gaps.insert(gaps.end(), reader->gaps.begin(), reader->gaps.end());
    if (reader->whole()) ++whole;
  }
  const double tokens = static_cast<double>(gaps.size()) + whole;
  std::cout << "| " << name << " | " << streams << " | " << whole << " | "
            << std::fixed << std::setprecision(0) << tokens / seconds << " | "
            << std::setprecision(2) << Quantile(gaps, kMedian) << " | "
            << Quantile(gaps, kTail) << " | " << std::setprecision(1)
            << (PathMicroseconds(fleet) - processor) / tokens << " |\n";
}

}  // namespace

void MeasureStreams() {
  Fleet fleet;
  const json control = fleet.Start("control-1", {{"control", json::object()}});
  const json seeds =
      json::array({{{"process", "control-1"}, {"address", control["peer"]}}});
  const json agent =
      fleet.Start("agent-1", {{"control_seeds", seeds},
                              {"agent", {{"engine_listen", "127.0.0.1:0"}}}});
  const json entry = fleet.Start(
      "entry-1",
      {{"control_seeds", seeds}, {"entry", {{"listen", "127.0.0.1:0"}}}});
  const json engine = fleet.StartEngine(
      "engine-1", "mirror,ledger", agent["engine"],
      {"--token-interval-ms=5", "--max-batch=400", "--memory-tokens=10000000"});
  json document = DemoConfiguration();
  // So slow a promise leaves the batch to the engine: this measures the path.
  document["rules"]["targets"]["urgent"]["token_gap_ms"] = 1000;
  fleet.Apply(control["admin"], document);
  Fleet::Await("served", [&] {
    return Fleet::Fetch(entry["entry"], CompletionRequest("mirror", 1, false))
               .status == 200;
  });
  std::cout << "| path | streams | whole | tokens/s | gap p50, ms | "
               "gap p99, ms | entry and agent, us of processor a token |\n"
            << "| --- | --- | --- | --- | --- | --- | --- |\n";
  for (const int streams : {1, 10, 50, 200}) {
    MeasureOne(fleet, "straight to the stand-in", engine["address"], streams);
    MeasureOne(fleet, "entry and agent", entry["entry"], streams);
  }
  std::cout << "\n| process | memory at rest after the runs, MB | threads |\n"
            << "| --- | --- | --- |\n";
  constexpr double kKilobytesPerMegabyte = 1024;
  for (const char* name : {"control-1", "agent-1", "entry-1"}) {
    const ChildProcess& process = fleet.process(name);
    std::cout << "| " << name << " | "
              << static_cast<double>(process.StatusNumber("VmRSS")) /
                     kKilobytesPerMegabyte
              << " | " << process.StatusNumber("Threads") << " |\n";
  }
}

}  // namespace coltsfootfork
