#include "coltsfootfork/core/replay/replay_trace.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "core/replay/recorded_entry.h"

namespace coltsfootfork {
namespace {

using Lines = std::vector<std::string>;

const std::vector<std::string> kTraceNames = {
    "whole_stream",
    "duplicate_token_frame",
    "stale_generation",
    "server_lost_before_first_token",
    "server_lost_after_first_token",
    "not_run_refusal",
    "non_idempotent_interrupted",
};

std::string ReadFile(const std::string& name) {
  std::ifstream file(TEST_DATA_DIR "/traces/" + name);
  BOOST_REQUIRE_MESSAGE(file, name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Outcomes ReadOutcomes(const std::string& name) {
  Findings findings;
  const auto outcomes =
      ParseOutcomes(ReadFile(name + ".outcomes.json"), &findings);
  BOOST_REQUIRE_MESSAGE(outcomes, findings.ToText());
  return *outcomes;
}

ReplayReport Replay(const std::string& trace, const Outcomes& outcomes = {}) {
  std::istringstream in(trace);
  return ReplayTrace(in, outcomes);
}

Lines SplitLines(const std::string& text) {
  Lines lines;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

// Joins the lines and replaces the last one by an end line with their count.
std::string JoinLines(Lines lines) {
  lines.back() = "{\"end\":" + std::to_string(lines.size()) + "}";
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

bool HasFinding(const ReplayReport& report, const std::string& place,
                const std::string& problem) {
  for (const Finding& finding : report.findings.list()) {
    if (finding.place == place &&
        finding.problem.find(problem) != std::string::npos) {
      return true;
    }
  }
  return false;
}

BOOST_AUTO_TEST_CASE(StoredTracesReplayWithTheirExpectedOutcomes) {
  for (const std::string& name : kTraceNames) {
    const std::string trace = ReadFile(name + ".jsonl");
    const ReplayReport report = Replay(trace, ReadOutcomes(name));
    BOOST_TEST(report.ok(), name << "\n" << report.ToText());
    BOOST_TEST(report.effects > 0U);
    BOOST_TEST(Replay(trace, ReadOutcomes(name)).ToText() == report.ToText());
  }
}

BOOST_AUTO_TEST_CASE(RecordingIsDeterministic) {
  const auto first = testing::RecordTraces();
  const auto second = testing::RecordTraces();
  BOOST_REQUIRE(first.size() == kTraceNames.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(first[i].name == kTraceNames[i]);
    BOOST_TEST(first[i].trace == second[i].trace);
    BOOST_TEST(Replay(first[i].trace, ReadOutcomes(kTraceNames[i])).ok());
  }
}

BOOST_AUTO_TEST_CASE(DuplicatedTokenDeliveryIsReportedAtItsLine) {
  int found = 0;
  for (const std::string& name : kTraceNames) {
    const Lines lines = SplitLines(ReadFile(name + ".jsonl"));
    for (std::size_t i = 0; i < lines.size(); ++i) {
      if (lines[i].find("\"deliver_token\"") == std::string::npos) continue;
      Lines twice = lines;
      twice.insert(twice.begin() + static_cast<std::ptrdiff_t>(i), lines[i]);
      const ReplayReport report = Replay(JoinLines(twice), ReadOutcomes(name));
      const std::string place = "line " + std::to_string(i + 2);
      BOOST_TEST(HasFinding(report, place, "twice"), report.ToText());
      BOOST_TEST(HasFinding(report, place, "the core does not do this"));
      ++found;
    }
  }
  BOOST_TEST(found > 10);
}

BOOST_AUTO_TEST_CASE(MissingEffectIsReportedAtItsInput) {
  for (const std::string& name : kTraceNames) {
    const Lines lines = SplitLines(ReadFile(name + ".jsonl"));
    std::string input;
    for (std::size_t i = 1; i + 1 < lines.size(); ++i) {
      if (lines[i].find("\"out\":") == std::string::npos) {
        input = "line " + std::to_string(i + 1);
        continue;
      }
      Lines without = lines;
      without.erase(without.begin() + static_cast<std::ptrdiff_t>(i));
      const ReplayReport report = Replay(JoinLines(without));
      BOOST_TEST(HasFinding(report, input, "the core also does this now"),
                 name << " " << input << "\n"
                      << report.ToText());
    }
  }
}

BOOST_AUTO_TEST_CASE(TruncatedTraceIsReportedAtItsLastLine) {
  const std::string trace = ReadFile("whole_stream.jsonl");
  const Outcomes outcomes = ReadOutcomes("whole_stream");
  for (std::size_t length = 0; length < trace.size(); ++length) {
    const std::string cut = trace.substr(0, length);
    const auto lines = std::count(cut.begin(), cut.end(), '\n');
    BOOST_REQUIRE(HasFinding(Replay(cut, outcomes),
                             "line " + std::to_string(lines + 1), "cut off"));
  }
}

BOOST_AUTO_TEST_CASE(MalformedLineIsReportedAtItsLine) {
  const Lines whole = SplitLines(ReadFile("whole_stream.jsonl"));
  struct Damage {
    std::size_t line;
    std::string text;
    std::string problem;
  };
  const Damage damages[] = {
      {1, R"({"trace":"another"})", "is not the first line"},
      {1, R"({"trace":"coltsfootfork","version":2})",
       "version 2 is not known to this program, which reads version 1"},
      {1, R"({"trace":"coltsfootfork","version":1,"seed":1})",
       "the header cannot be read"},
      {4, "{\"at\":", "is not a JSON object"},
      {4, "[]", "is not a JSON object"},
      {4, R"({"at":5,"tick":true})", "its time lies before"},
      {4, R"({"at":1000030000,"in":{"kind":"other","body":{}}})",
       "the kind of input is not known"},
      {4, R"({"at":1000030000,"out":{"kind":"other","body":{}}})",
       "the kind of effect is not known"},
      {4, R"({"at":1000030000,"in":{"kind":"agent_up","body":{"agent":7}}})",
       "cannot be read"},
      {4, R"({"at":1000030000})", "is neither an input"},
      {4, R"({"end":3})", "the end line counts other lines"},
      {4, R"({"end":4})", "something follows the end line"},
  };
  for (const Damage& damage : damages) {
    Lines lines = whole;
    lines.at(damage.line - 1) = damage.text;
    const ReplayReport report = Replay(JoinLines(lines));
    BOOST_TEST(HasFinding(report, "line " + std::to_string(damage.line),
                          damage.problem),
               damage.text << "\n"
                           << report.ToText());
  }
}

BOOST_AUTO_TEST_CASE(MutatedTracesAreReplayedOrReported) {
  std::mt19937_64 random(11);
  int reported = 0;
  for (int round = 0; round < 2000; ++round) {
    std::string trace =
        ReadFile(kTraceNames[random() % kTraceNames.size()] + ".jsonl");
    for (int i = 0; i < 3; ++i) {
      trace.at(random() % trace.size()) = static_cast<char>(random());
    }
    reported += Replay(trace).ok() ? 0 : 1;
  }
  BOOST_TEST(reported > 1900);
}

BOOST_AUTO_TEST_CASE(TraceWithoutEffectsIsCheckedAgainstTheReplayedEffects) {
  Outcomes outcomes = ReadOutcomes("server_lost_after_first_token");
  outcomes.same_effects = false;
  Lines inputs;
  for (const std::string& line :
       SplitLines(ReadFile("server_lost_after_first_token.jsonl"))) {
    if (line.find("\"out\":") == std::string::npos) inputs.push_back(line);
  }
  const ReplayReport report = Replay(JoinLines(inputs), outcomes);
  BOOST_TEST(report.ok(), report.ToText());
  BOOST_TEST(report.effects > 10U);
  outcomes.requests[RequestId("ends")].tokens = 3;
  BOOST_TEST(HasFinding(Replay(JoinLines(inputs), outcomes),
                        "/requests/ends/tokens", "states 3, found 2"));
}

BOOST_AUTO_TEST_CASE(DigestedTraceContainsNoBodyText) {
  for (const auto& scenario : testing::RecordTraces()) {
    BOOST_TEST(scenario.trace.find("silk") == std::string::npos);
    BOOST_TEST(scenario.trace.find("g1t0") == std::string::npos);
  }
  testing::RecordedEntry whole(true);
  whole.SendStreamRequest("r1");
  whole.SendToken(0);
  whole.SendCompleted(1);
  const std::string trace = whole.Finish();
  BOOST_TEST(trace.find("silk") != std::string::npos);
  BOOST_TEST(Replay(trace).ok());
}

}  // namespace
}  // namespace coltsfootfork
