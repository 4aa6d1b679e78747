#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "support/child_process.h"

namespace coltsfootfork {
namespace {

struct Output {
  std::string text;
  int exit_code = 0;
};

Output RunProgram(const std::vector<std::string>& words) {
  ChildProcess process(COLTSFOOTFORK_PROGRAM, words, "/dev/null");
  Output output;
  for (std::string line = process.ReadLine();
       !line.empty() || output.text.empty(); line = process.ReadLine()) {
    if (line.empty() && output.text.empty()) break;
    output.text += line + "\n";
  }
  output.exit_code = process.Wait();
  return output;
}

std::string Expected(const std::string& name) {
  std::ifstream file(std::string(TEST_DATA_DIR) + "/expected/" + name);
  BOOST_REQUIRE(file.good());
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

std::string Input(const std::string& name) {
  return std::string(TEST_DATA_DIR) + "/input/" + name;
}

BOOST_AUTO_TEST_CASE(AllFindingsOfSettingsAreReportedTogether) {
  for (const char* name : {"bad-settings", "bad-addresses"}) {
    const Output output =
        RunProgram({"check", "--settings", Input(std::string(name) + ".json")});
    BOOST_TEST(output.exit_code == 1);
    BOOST_TEST(output.text == Expected(std::string(name) + ".txt"));
  }
}

BOOST_AUTO_TEST_CASE(RunRejectsInvalidSettings) {
  const Output output =
      RunProgram({"run", "--settings", Input("bad-settings.json")});
  BOOST_TEST(output.exit_code == 1);
  BOOST_TEST(output.text == "");
}

BOOST_AUTO_TEST_CASE(EachCommandHasAHelpPage) {
  for (const std::string command :
       {"run", "check", "apply", "diff", "replay", "status", "version"}) {
    const Output output = RunProgram({command, "--help"});
    BOOST_TEST(output.exit_code == 0, command);
    BOOST_TEST(!output.text.empty(), command);
  }
}

BOOST_AUTO_TEST_CASE(ReplayAcceptsTraceAndReportsDuplicateToken) {
  const std::string traces = TRACES_DIR "/duplicate_token_frame";
  const std::string expect = traces + ".outcomes.json";
  const Output valid_output =
      RunProgram({"replay", traces + ".jsonl", "--expect", expect});
  BOOST_TEST(valid_output.exit_code == 0);
  BOOST_TEST(valid_output.text == Expected("replay.txt"));
  const Output duplicate_output =
      RunProgram({"replay", Input("doubled_token.jsonl"), "--expect", expect});
  BOOST_TEST(duplicate_output.exit_code == 1);
  BOOST_TEST(
      duplicate_output.text.find("line 11: request r1 gets token 0 twice") !=
      std::string::npos);
  BOOST_TEST(RunProgram({"replay", expect}).exit_code == 1);
  BOOST_TEST(RunProgram({"replay", "no-such-file"}).exit_code == 1);
}

BOOST_AUTO_TEST_CASE(InvalidArgumentsAreUsageErrors) {
  BOOST_TEST(RunProgram({}).exit_code == 2);
  BOOST_TEST(RunProgram({"no-such-command"}).exit_code == 2);
  BOOST_TEST(RunProgram({"run"}).exit_code == 2);
  BOOST_TEST(RunProgram({"status", "--admin"}).exit_code == 2);
}

}  // namespace
}  // namespace coltsfootfork
