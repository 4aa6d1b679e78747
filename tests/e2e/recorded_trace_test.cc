#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <sstream>
#include <string>

#include "coltsfootfork/core/replay/replay_trace.h"
#include "support/fleet.h"
#include "support/http_stream.h"

// What an operator sees of one real process afterwards: its recorded trace and
// its metrics.
namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr int kTokens = 6;

// One process with all roles, which records, and its engine.
struct RecordedProcess {
  explicit RecordedProcess(const std::vector<std::string>& engine_flags) {
    whole = fleet.Start("all-1",
                        {{"control", json::object()},
                         {"agent", {{"engine_listen", "127.0.0.1:0"}}},
                         {"entry", {{"listen", "127.0.0.1:0"}}}},
                        {"--record", TracePath()});
    fleet.StartEngine("engine-1", "mirror,ledger", whole["engine"],
                      engine_flags);
    fleet.Apply(whole["admin"], DemoConfiguration());
    Fleet::Await("a request is served", [this] {
      return Fleet::Fetch(whole["entry"], CompletionRequest("mirror", 1, false))
                 .status == 200;
    });
  }

  std::string TracePath() const { return fleet.folder() + "/trace.jsonl"; }
  void RunStream() {
    HttpStream stream(whole["entry"],
                      CompletionRequest("mirror", kTokens, true));
    while (stream.NextEvent()) {
    }
    BOOST_TEST(stream.ended());
  }
  // The sum of all samples whose line begins so.
  double Metric(const std::string& beginning) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/metrics";
    std::istringstream text(Fleet::Fetch(whole["admin"], request).body);
    double sum = 0;
    for (std::string line; std::getline(text, line);) {
      if (line.rfind(beginning, 0) != 0) continue;
      sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
  }

  Fleet fleet;
  json whole;
};

BOOST_AUTO_TEST_CASE(WhatAProcessRecordsReplaysToTheSameEffects) {
  RecordedProcess process({"--token-interval-ms=2"});
  process.RunStream();
  process.fleet.process("all-1").Signal(SIGTERM);
  BOOST_TEST(process.fleet.process("all-1").Wait() == 0);
  std::ifstream trace(process.TracePath());
  const ReplayReport report = ReplayTrace(trace, {});
  BOOST_TEST(report.ok(), report.ToText());
  BOOST_TEST(report.summary.find("whole, tokens 6, hand-overs 1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ASlowEngineShowsInTheMetrics) {
  RecordedProcess process({"--token-interval-ms=400"});
  process.RunStream();
  BOOST_TEST(process.Metric("coltsfootfork_stall_seconds_count") ==
             kTokens - 1);
  BOOST_TEST(process.Metric("coltsfootfork_token_gap_seconds_count") ==
             kTokens - 1);
  BOOST_TEST(process.Metric("coltsfootfork_queue_delay_seconds_count") >= 2);
  BOOST_TEST(process.Metric("coltsfootfork_memory_tokens") == 100000);
  BOOST_TEST(process.Metric("coltsfootfork_serving") == 1);
  BOOST_TEST(process.Metric("coltsfootfork_preemptions_total") == 0);
}

}  // namespace
}  // namespace coltsfootfork
