#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "support/fleet.h"
#include "support/http_stream.h"

// One caller's request through entry, agent and engine, between real
// processes, under a configuration that an operator applied.
namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr int kTokens = 12;

// Control, entry and one agent with its engine, each a process of its own.
struct WholePath {
  explicit WholePath(const std::vector<std::string>& engine_flags = {}) {
    control = fleet.Start("control-1", {{"control", json::object()}});
    const json seeds =
        json::array({{{"process", "control-1"}, {"address", control["peer"]}}});
    agent =
        fleet.Start("agent-1", {{"control_seeds", seeds},
                                {"agent", {{"engine_listen", "127.0.0.1:0"}}}});
    entry = fleet.Start("entry-1", {{"control_seeds", seeds},
                                    {"entry", {{"listen", "127.0.0.1:0"}}}});
    engine = fleet.StartEngine("engine-1", "mirror,ledger", agent["engine"],
                               engine_flags);
    fleet.Apply(control["admin"], DemoConfiguration());
    Fleet::Await("a request is served", [this] {
      return Fleet::Fetch(entry["entry"], CompletionRequest("mirror", 1, false))
                 .status == 200;
    });
  }

  HttpStream Stream(int tokens, const std::string& prompt = "a scarf") {
    return HttpStream(entry["entry"],
                      CompletionRequest("mirror", tokens, true, prompt));
  }

  // What the engine stand-in counts.
  json EngineCounts() {
    HttpRequest request;
    request.method = "GET";
    request.target = "/standin/v1/runs";
    return json::parse(Fleet::Fetch(engine["address"], request).body);
  }

  Fleet fleet;
  json control;
  json agent;
  json entry;
  json engine;
};

// The texts of all token events up to the end of the stream.
std::vector<std::string> ReadTexts(HttpStream& stream) {
  std::vector<std::string> texts;
  bool done = false;
  while (const auto event = stream.NextEvent()) {
    const std::string text = EventText(*event);
    if (!text.empty()) texts.push_back(text);
    done = *event == "data: [DONE]";
  }
  BOOST_TEST(done);
  BOOST_TEST(stream.ended());
  return texts;
}

// Checks that the texts are tokens 0, 1, 2, ... of one request.
void CheckTokens(const std::vector<std::string>& texts, std::size_t count) {
  BOOST_REQUIRE_EQUAL(texts.size(), count);
  const std::string marker = texts[0].substr(0, texts[0].rfind('0'));
  for (std::size_t i = 0; i < texts.size(); ++i) {
    BOOST_TEST(texts[i] == marker + std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(StreamedTokensComeOnceInOrderAsTheyAreMade) {
  WholePath path({"--token-interval-ms=20"});
  HttpStream stream = path.Stream(kTokens);
  BOOST_TEST(stream.Status() == 200);
  const auto first = stream.NextEvent();
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(!stream.ended());
  std::vector<std::string> texts = {EventText(*first)};
  for (const std::string& text : ReadTexts(stream)) texts.push_back(text);
  CheckTokens(texts, kTokens);
}

BOOST_AUTO_TEST_CASE(CrossedCallersGetTheirOwnAnswers) {
  // The engine answers each odd-numbered run late, so that answers cross.
  WholePath path({"--late-ms=150"});
  HttpStream first = path.Stream(kTokens, "first caller");
  HttpStream second = path.Stream(kTokens + 3, "second caller");
  const std::vector<std::string> second_texts = ReadTexts(second);
  const std::vector<std::string> first_texts = ReadTexts(first);
  CheckTokens(first_texts, kTokens);
  CheckTokens(second_texts, kTokens + 3);
  BOOST_TEST(first_texts[0] == "first t0");
  BOOST_TEST(second_texts[0] == "second t0");
}

BOOST_AUTO_TEST_CASE(PlainCallRunsOnceAndItsAnswerComesBackWhole) {
  WholePath path;
  const int runs_before = path.EngineCounts()["total"];
  HttpRequest request = CompletionRequest("mirror", 1, false);
  request.target = "/services/ledger/sales";
  request.body = R"({"scarf":7})";
  const HttpResponse response = Fleet::Fetch(path.entry["entry"], request);
  BOOST_TEST(response.status == 200);
  const json answer = json::parse(response.body);
  BOOST_TEST(answer["echo"].get<std::string>() == request.body);
  BOOST_TEST(path.EngineCounts()["total"].get<int>() == runs_before + 1);
}

BOOST_AUTO_TEST_CASE(PlannedStopOfEachProcessCutsOffNoRequest) {
  for (const char* name : {"engine-1", "agent-1", "entry-1", "control-1"}) {
    BOOST_TEST_CONTEXT(name) {
      WholePath path({"--token-interval-ms=30"});
      HttpStream stream = path.Stream(kTokens);
      const auto first = stream.NextEvent();
      BOOST_REQUIRE(first.has_value());
      path.fleet.process(name).Signal(SIGTERM);
      std::vector<std::string> texts = {EventText(*first)};
      for (const std::string& text : ReadTexts(stream)) texts.push_back(text);
      CheckTokens(texts, kTokens);
      BOOST_TEST(path.fleet.process(name).Wait() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(AbandonedStreamIsCancelledAtTheEngine) {
  WholePath path({"--token-interval-ms=20"});
  HttpStream stream = path.Stream(100000);
  BOOST_REQUIRE(stream.NextEvent().has_value());
  stream.Abandon();
  Fleet::Await("the engine has cancelled",
               [&] { return path.EngineCounts().value("cancels", 0) > 0; });
}

BOOST_AUTO_TEST_CASE(EachProcessHasOneThread) {
  WholePath path;
  for (const char* name : {"control-1", "agent-1", "entry-1"}) {
    BOOST_TEST(path.fleet.process(name).StatusNumber("Threads") == 1);
  }
}

}  // namespace
}  // namespace coltsfootfork
