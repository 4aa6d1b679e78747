#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/fleet.h"
#include "support/http_stream.h"

// Failures on the request path between real processes: each answer is whole,
// or says that it is not, and what may not be repeated runs at most once.
namespace coltsfootfork {
namespace {

using nlohmann::json;

// One control replica, two entries, two agents with an engine each.
struct TwoOfEach {
  explicit TwoOfEach(const std::vector<std::string>& engine_flags = {}) {
    control = fleet.Start("control-1", {{"control", json::object()}});
    seeds =
        json::array({{{"process", "control-1"}, {"address", control["peer"]}}});
    for (const char* n : {"1", "2"}) {
      const std::string number = n;
      agents[number] = fleet.Start(
          "agent-" + number, {{"control_seeds", seeds},
                              {"agent", {{"engine_listen", "127.0.0.1:0"}}}});
      engines[number] =
          fleet.StartEngine("engine-" + number, "mirror,ledger",
                            agents[number]["engine"], engine_flags);
      entries[number] = fleet.Start(
          "entry-" + number,
          {{"control_seeds", seeds}, {"entry", {{"listen", "127.0.0.1:0"}}}});
    }
    fleet.Apply(control["admin"], DemoConfiguration());
    Fleet::Await("both engines and both entries serve", [this] {
      for (const char* entry : {"1", "2"}) {
        Fleet::Fetch(entries[entry]["entry"],
                     CompletionRequest("mirror", 1, false));
      }
      return Runs("1") > 0 && Runs("2") > 0 && Served("1") && Served("2");
    });
  }

  bool Served(const std::string& entry) {
    return Fleet::Fetch(entries[entry]["entry"],
                        CompletionRequest("mirror", 1, false))
               .status == 200;
  }

  json Counts(const std::string& engine) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/standin/v1/runs";
    const HttpResponse response =
        Fleet::Fetch(engines[engine]["address"], request);
    return response.status == 200 ? json::parse(response.body) : json::object();
  }

  int Runs(const std::string& engine) {
    return Counts(engine).value("total", 0);
  }

  // The engine that runs something now.
  std::string Busy() {
    std::string busy;
    Fleet::Await("an engine runs the stream", [&] {
      for (const char* engine : {"1", "2"}) {
        if (Counts(engine).value("running", 0) > 0) busy = engine;
      }
      return !busy.empty();
    });
    return busy;
  }

  HttpStream Stream(int tokens) {
    return HttpStream(entries["1"]["entry"],
                      CompletionRequest("mirror", tokens, true));
  }

  Fleet fleet;
  json seeds;
  json control;
  std::map<std::string, json> agents;
  std::map<std::string, json> engines;
  std::map<std::string, json> entries;
};

// What a caller saw of a stream.
struct Seen {
  std::vector<std::string> texts;
  bool done = false;
  json problem;
};

Seen ReadAll(HttpStream& stream) {
  Seen seen;
  constexpr std::string_view kError = "event: error\ndata: ";
  while (const auto event = stream.NextEvent()) {
    const std::string text = EventText(*event);
    if (!text.empty()) seen.texts.push_back(text);
    if (*event == "data: [DONE]") seen.done = true;
    if (event->compare(0, kError.size(), kError) == 0) {
      seen.problem = json::parse(event->substr(kError.size()))["error"];
    }
  }
  return seen;
}

void CheckInOrder(const Seen& seen) {
  for (std::size_t i = 0; i < seen.texts.size(); ++i) {
    BOOST_TEST(seen.texts[i] == "a t" + std::to_string(i));
  }
}

HttpRequest Sale(const std::string& key) {
  HttpRequest request = CompletionRequest("mirror", 1, false);
  request.target = "/services/ledger/sales";
  request.body = "{\"sale\":\"" + key + "\"}";
  request.fields.push_back({"Idempotency-Key", key});
  return request;
}

BOOST_AUTO_TEST_CASE(KilledEngineOrAgentEndsTheStreamExplicitly) {
  for (const std::string victim : {"engine-", "agent-"}) {
    BOOST_TEST_CONTEXT(victim) {
      TwoOfEach path({"--token-interval-ms=20"});
      HttpStream stream = path.Stream(100000);
      BOOST_REQUIRE(stream.NextEvent().has_value());
      path.fleet.Kill(victim + path.Busy());
      Seen seen = ReadAll(stream);
      BOOST_TEST(!seen.done);
      BOOST_TEST(!stream.ended());
      BOOST_TEST(seen.problem.value("not_run", true) == false);
      BOOST_TEST(!seen.problem.value("reason", std::string()).empty());
      seen.texts.insert(seen.texts.begin(), "a t0");
      CheckInOrder(seen);
      // The other server goes on serving.
      Fleet::Await("served again", [&] { return path.Served("1"); });
    }
  }
}

BOOST_AUTO_TEST_CASE(FrozenEngineEndsTheStreamExplicitly) {
  TwoOfEach path({"--token-interval-ms=20"});
  HttpStream stream = path.Stream(100000);
  BOOST_REQUIRE(stream.NextEvent().has_value());
  const std::string busy = path.Busy();
  path.fleet.process("engine-" + busy).Signal(SIGSTOP);
  const Seen seen = ReadAll(stream);
  path.fleet.process("engine-" + busy).Signal(SIGCONT);
  BOOST_TEST(!seen.done);
  BOOST_TEST(seen.problem.value("not_run", true) == false);
}

BOOST_AUTO_TEST_CASE(ResendThroughAnotherEntryRunsOnce) {
  TwoOfEach path;
  const int before = path.Runs("1") + path.Runs("2");
  const HttpResponse first =
      Fleet::Fetch(path.entries["1"]["entry"], Sale("sale-1"));
  BOOST_TEST(first.status == 200);
  // The answer may be there before its claim is settled; until then a resend
  // is told so, and runs nothing (docs/design/streams-and-retries.md).
  HttpResponse again;
  Fleet::Await("the claim is settled", [&] {
    again = Fleet::Fetch(path.entries["2"]["entry"], Sale("sale-1"));
    const bool in_progress =
        again.status == 409 &&
        again.body.find("claim_in_progress") != std::string::npos;
    return !in_progress;
  });
  BOOST_TEST(again.status == 200);
  BOOST_TEST(again.body == first.body);
  BOOST_TEST(path.Runs("1") + path.Runs("2") == before + 1);
  HttpRequest other = Sale("sale-1");
  other.body = "another body";
  BOOST_TEST(Fleet::Fetch(path.entries["2"]["entry"], other).status == 422);
}

BOOST_AUTO_TEST_CASE(ResendAfterTheEntrysDeathDoesNotRunAgain) {
  TwoOfEach path;
  // Frozen engines hold the call open while the entry dies.
  for (const char* engine : {"engine-1", "engine-2"}) {
    path.fleet.process(engine).Signal(SIGSTOP);
  }
  HttpStream first(path.entries["1"]["entry"], Sale("sale-2"));
  const auto resend = [&] {
    return Fleet::Fetch(path.entries["2"]["entry"], Sale("sale-2"));
  };
  Fleet::Await("the claim is committed",
               [&] { return resend().status == 409; });
  path.fleet.Kill("entry-1");
  const HttpResponse again = resend();
  BOOST_TEST(again.status == 409);
  BOOST_TEST(json::parse(again.body)["not_run"] == false);
  for (const char* engine : {"engine-1", "engine-2"}) {
    path.fleet.process(engine).Signal(SIGCONT);
  }
  Fleet::Await("both engines serve again", [&] {
    return path.Served("2") && path.Runs("1") > 0 && path.Runs("2") > 0;
  });
  const json by_body_1 = path.Counts("1")["runs_by_body"];
  const json by_body_2 = path.Counts("2")["runs_by_body"];
  const std::string body = Sale("sale-2").body;
  BOOST_TEST(resend().status == 409);
  BOOST_TEST(by_body_1.value(body, 0) + by_body_2.value(body, 0) <= 1);
}

BOOST_AUTO_TEST_CASE(WithoutQuorumClaimedCallsAreRefusedAndOthersGoOn) {
  TwoOfEach path;
  const int before = path.Runs("1") + path.Runs("2");
  path.fleet.Kill("control-1");
  const HttpResponse refused =
      Fleet::Fetch(path.entries["1"]["entry"], Sale("sale-3"));
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(json::parse(refused.body)["reason"] == "no_quorum");
  BOOST_TEST(json::parse(refused.body)["not_run"] == true);
  BOOST_TEST(path.Runs("1") + path.Runs("2") == before);
  BOOST_TEST(path.Served("1"));
  // Nobody is left to take the lease back; the stop must end all the same.
  path.fleet.process("entry-2").Signal(SIGTERM);
  BOOST_TEST(path.fleet.process("entry-2").Wait() == 0);
}

BOOST_AUTO_TEST_CASE(StreamLimitHoldsOverBothEntries) {
  constexpr int kLimit = 4;
  TwoOfEach path({"--token-interval-ms=20"});
  json document = DemoConfiguration();
  document["inventory"]["workspaces"][0]["limits"]["concurrent_streams"] =
      kLimit;
  path.fleet.Apply(path.control["admin"], document, 1);
  std::vector<std::unique_ptr<HttpStream>> streams;
  const auto open_streams = [&](const std::string& entry) {
    int opened = 0;
    for (int i = 0; i < kLimit; ++i) {
      auto stream = std::make_unique<HttpStream>(
          path.entries[entry]["entry"],
          CompletionRequest("mirror", 100000, true));
      if (stream->Status() != 200) continue;
      ++opened;
      streams.push_back(std::move(stream));
    }
    return opened;
  };
  Fleet::Await("the limit is in force at both entries", [&] {
    const json status = path.fleet.Status(path.control["admin"]);
    int in_force = 0;
    for (const json& process : status.value("processes", json::array())) {
      if (process.value("roles", std::string()) == "entry" &&
          process.value("revision", 0) == 2) {
        ++in_force;
      }
    }
    return in_force == 2;
  });
  // Tried again while the parts move to where the demand is.
  int opened = 0;
  Fleet::Await("one entry's callers get all that the other leaves", [&] {
    opened += open_streams("1");
    BOOST_REQUIRE(opened <= kLimit);
    return opened >= kLimit - 1;
  });
  opened += open_streams("2");
  BOOST_TEST(opened <= kLimit);
}

BOOST_AUTO_TEST_CASE(ServerTakenOutOfTheInventoryEndsItsStreamsAndGetsNoMore) {
  TwoOfEach path({"--token-interval-ms=20"});
  HttpStream stream = path.Stream(150);
  BOOST_REQUIRE(stream.NextEvent().has_value());
  const std::string busy = path.Busy();
  json document = DemoConfiguration();
  document["inventory"]["engines"].erase(busy == "1" ? 0 : 1);
  path.fleet.Apply(path.control["admin"], document, 1);
  Fleet::Await("every process has the change in force", [&] {
    const json status = path.fleet.Status(path.control["admin"]);
    int in_force = 0;
    for (const json& process : status.value("processes", json::array())) {
      if (process.value("revision", 0) == 2) ++in_force;
    }
    return in_force == 5;
  });
  const int before = path.Runs(busy);
  for (int i = 0; i < 10; ++i) BOOST_TEST(path.Served(i % 2 == 0 ? "1" : "2"));
  BOOST_TEST(path.Runs(busy) == before);
  Seen seen = ReadAll(stream);
  BOOST_TEST(seen.done);
  BOOST_TEST(seen.texts.size() == 149U);
}

}  // namespace
}  // namespace coltsfootfork
