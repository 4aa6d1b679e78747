#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "coltsfootfork/core/configuration/configuration_keys.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

std::string ReadPage() {
  std::ifstream file(std::string(TEST_DATA_DIR) +
                     "/../../../docs/operators/configuration.md");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string KindText(ValueKind kind) {
  static constexpr const char* kTexts[] = {"object",       "list",    "name",
                                           "text",         "SHA-256", "choice",
                                           "whole number", "number"};
  return kTexts[static_cast<std::size_t>(kind)];
}

std::string NumberText(double number) {
  const auto whole = static_cast<std::int64_t>(number);
  return static_cast<double>(whole) == number ? std::to_string(whole)
                                              : nlohmann::json(number).dump();
}

std::string RangeText(const ConfigurationKey& key) {
  std::string choices(key.choices);
  const std::size_t bar = choices.find('|');
  if (bar != std::string::npos) return choices.replace(bar, 1, " or ");
  if (key.maximum == 0) return "any";
  return NumberText(key.minimum) + " to " + NumberText(key.maximum);
}

// The row of a key as the page must have it, up to its meaning.
std::string RowOf(const ConfigurationKey& key) {
  std::string fallback(key.default_value.empty() ? "none" : key.default_value);
  if (key.required) fallback = "required";
  return "| `" + std::string(key.path) + "` | " + KindText(key.kind) + " | " +
         fallback + " | " + RangeText(key) + " | ";
}

BOOST_AUTO_TEST_CASE(TheOperatorsPageHasEveryKeyAndNoOther) {
  const std::string page = ReadPage();
  std::size_t rows = 0;
  for (std::size_t at = page.find("\n| `/"); at != std::string::npos;
       at = page.find("\n| `/", at + 1)) {
    ++rows;
  }
  // All but the document itself.
  BOOST_TEST(rows == ConfigurationKeys().size() - 1);
  for (const ConfigurationKey& key : ConfigurationKeys()) {
    if (key.path.empty()) continue;
    BOOST_TEST(page.find("\n" + RowOf(key)) != std::string::npos, RowOf(key));
  }
}

// The table states what a document gets that leaves the keys out.
BOOST_AUTO_TEST_CASE(DefaultsOfTheTableAreThoseOfTheParser) {
  auto document = SampleDocument();
  document.erase("rules");
  document["inventory"]["workspaces"][0].erase("weight");
  document["inventory"]["workspaces"][0].erase("limits");
  document["inventory"]["services"][0].erase("kind");
  Findings findings;
  const auto bare = ParseConfiguration(document.dump(), findings);
  BOOST_TEST_REQUIRE(bare.has_value());
  const auto number_at = [](const std::string& path) {
    for (const ConfigurationKey& key : ConfigurationKeys()) {
      if (key.path == path) return std::stod(std::string(key.default_value));
    }
    return -1.0;
  };
  const Workspace& workspace = bare->workspaces.at(0);
  BOOST_TEST(number_at("/inventory/workspaces/*/weight") == workspace.weight);
  BOOST_TEST(workspace.limits.tokens_per_second == 0U);
  BOOST_TEST((bare->services.at(0).kind == RequestKind::kGeneration));
  for (const Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
    const std::string place = "/rules/targets/" + std::string(RankName(rank));
    const RankTarget& target = bare->rules.targets[RankIndex(rank)];
    BOOST_TEST(number_at(place + "/first_token_ms") ==
               static_cast<double>(target.first_token.count()));
    BOOST_TEST(number_at(place + "/token_gap_ms") ==
               static_cast<double>(target.token_gap.count()));
    BOOST_TEST(number_at(place + "/start_within_ms") ==
               static_cast<double>(target.start_within.count()));
  }
  BOOST_TEST(number_at("/rules/deferrable_floor") ==
             bare->rules.deferrable_floor);
  BOOST_TEST(number_at("/rules/claim_retention_s") ==
             static_cast<double>(bare->rules.claim_retention.count()));
}

}  // namespace
}  // namespace coltsfootfork
