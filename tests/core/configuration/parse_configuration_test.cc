#include "coltsfootfork/core/configuration/parse_configuration.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

std::vector<Finding> FindingsOf(const std::string& text) {
  Findings findings;
  const auto configuration = ParseConfiguration(text, findings);
  BOOST_TEST(configuration.has_value() == findings.empty());
  return findings.list();
}

bool HasPlace(const std::vector<Finding>& findings, const std::string& place) {
  return std::any_of(findings.begin(), findings.end(),
                     [&](const Finding& f) { return f.place == place; });
}

// Returns the places of a document's findings, separated by spaces.
std::string PlacesOf(const Json& document) {
  std::string places;
  for (const Finding& finding : FindingsOf(document.dump())) {
    places += finding.place + " ";
  }
  return places;
}

BOOST_AUTO_TEST_CASE(ExampleDocumentsHaveTheSizesOfTheDeployments) {
  for (const std::string name : {"espejo-vivo.json", "ferrante.json"}) {
    Findings findings;
    const auto configuration = ParseConfiguration(ReadExample(name), findings);
    BOOST_TEST_REQUIRE(configuration.has_value(), findings.ToText());
    BOOST_TEST(configuration->zones.size() == 3U);
    BOOST_TEST(configuration->servers.size() == 23U);
    BOOST_TEST(configuration->workspaces.size() == 10U);
    BOOST_TEST(!configuration->rules.non_idempotent.empty());
  }
}

BOOST_AUTO_TEST_CASE(ParsesEveryValue) {
  Json document = SampleDocument();
  document["inventory"]["workspaces"][0]["weight"] = 2.5;
  document["inventory"]["workspaces"][0]["limits"] = {
      {"requests_per_second", 3},
      {"tokens_per_second", 4},
      {"concurrent_streams", 5}};
  document["rules"]["targets"]["urgent"] = {
      {"first_token_ms", 6}, {"token_gap_ms", 7}, {"start_within_ms", 8}};
  document["rules"]["claim_retention_s"] = 600;
  document["rules"]["deferrable_floor"] = 0.25;
  Findings findings;
  const auto configuration = ParseConfiguration(document.dump(), findings);
  BOOST_TEST_REQUIRE(configuration.has_value(), findings.ToText());
  const Workspace& workspace = configuration->workspaces.at(0);
  BOOST_TEST(workspace.weight == 2.5);
  BOOST_TEST(workspace.limits.requests_per_second == 3U);
  BOOST_TEST(workspace.limits.tokens_per_second == 4U);
  BOOST_TEST(workspace.limits.concurrent_streams == 5U);
  const RankTarget& target =
      configuration->rules.targets[RankIndex(Rank::kUrgent)];
  BOOST_TEST((target.first_token == milliseconds(6)));
  BOOST_TEST((target.token_gap == milliseconds(7)));
  BOOST_TEST((target.start_within == milliseconds(8)));
  BOOST_TEST(
      (configuration->rules.claim_retention == std::chrono::seconds(600)));
  BOOST_TEST(configuration->rules.deferrable_floor == 0.25);
  BOOST_TEST((configuration->services.at(1).kind == RequestKind::kPlainCall));
  BOOST_TEST(configuration->rules.non_idempotent.at(0).method == "POST");
}

BOOST_AUTO_TEST_CASE(AllFindingsAreReportedTogether) {
  Json document = SampleDocument();
  document["unknown/key"] = 1;
  document["inventory"]["engines"][0]["availability_zone"] = "nowhere";
  document["inventory"]["engines"][1]["services"][0] = "no-service";
  document["inventory"]["engines"][1]["id"] = "engine-1";
  document["inventory"]["workspaces"][0]["weight"] = 0;
  document["inventory"]["workspaces"][0]["key_sha256"] = "demo-key";
  document["rules"]["ranks"][0]["workspace"] = "nobody";
  document["rules"]["ranks"][0]["rank"] = "first";
  document["rules"]["targets"]["urgent"]["token_gap_ms"] = 1.5;
  document["rules"]["non_idempotent"][0].erase("service");
  const auto findings = FindingsOf(document.dump());
  BOOST_TEST(findings.size() == 10U);
  for (const char* place :
       {"/unknown~1key", "/inventory/engines/0/availability_zone",
        "/inventory/engines/1/services/0", "/inventory/engines/1/id",
        "/inventory/workspaces/0/weight", "/inventory/workspaces/0/key_sha256",
        "/rules/ranks/0/workspace", "/rules/ranks/0/rank",
        "/rules/targets/urgent/token_gap_ms",
        "/rules/non_idempotent/0/service"}) {
    BOOST_TEST(HasPlace(findings, place), place);
  }
}

BOOST_AUTO_TEST_CASE(TwoWorkspacesWithTheSameKeyAreRejected) {
  Json document = SampleDocument();
  Json other = document["inventory"]["workspaces"][0];
  other["id"] = "other";
  document["inventory"]["workspaces"].push_back(other);
  BOOST_TEST(PlacesOf(document) == "/inventory/workspaces/1/key_sha256 ");
}

BOOST_AUTO_TEST_CASE(InvalidJsonAddsOneFindingWithLineAndColumn) {
  const auto findings = FindingsOf("{\n  \"inventory\": {},\n  \"rules\" 5\n}");
  BOOST_TEST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].place == "line 3, column 11");
  BOOST_TEST(FindingsOf("").size() == 1U);
  BOOST_TEST(FindingsOf("{\"rules\": 1e999}").size() == 1U);
  BOOST_TEST(FindingsOf("{\"a\": \"\xff\"}").size() == 1U);
}

BOOST_AUTO_TEST_CASE(ADuplicateKeyIsRejected) {
  std::string text = ReadExample("quickstart.json");
  text.insert(text.find("\"deferrable_floor\""), "\"deferrable_floor\": 0.9,");
  const auto findings = FindingsOf(text);
  BOOST_TEST_REQUIRE(findings.size() == 1U);
  BOOST_TEST(findings[0].place == "/rules/deferrable_floor");
}

BOOST_AUTO_TEST_CASE(DepthAndSizeAreBounded) {
  const std::size_t depth = 1000000;
  const auto deep = FindingsOf(std::string(depth, '['));
  BOOST_TEST_REQUIRE(deep.size() == 1U);
  BOOST_TEST(deep[0].problem == "objects and lists are nested too deep");
  const auto large = FindingsOf(std::string(kMaxDocumentBytes + 1, ' '));
  BOOST_TEST_REQUIRE(large.size() == 1U);
  BOOST_TEST(large[0].place.empty());
}

BOOST_AUTO_TEST_CASE(TheNumberOfFindingsIsBounded) {
  Json document = SampleDocument();
  for (int i = 0; i < 1000; ++i) document["key" + std::to_string(i)] = i;
  const auto findings = FindingsOf(document.dump());
  BOOST_TEST(findings.size() == kMaxFindings);
  BOOST_TEST(findings.back().problem ==
             "there are more findings than are listed");
}

}  // namespace
}  // namespace coltsfootfork
