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

// Returns the expected table row of a key, without its last column.
std::string RowOf(const ConfigurationKey& key) {
  std::string default_text(key.default_value.empty() ? "none"
                                                     : key.default_value);
  if (key.required) default_text = "required";
  return "| `" + std::string(key.path) + "` | " + KindText(key.kind) + " | " +
         default_text + " | " + RangeText(key) + " | ";
}

BOOST_AUTO_TEST_CASE(TheOperatorsPageListsExactlyTheConfigurationKeys) {
  const std::string page = ReadPage();
  std::size_t rows = 0;
  for (std::size_t at = page.find("\n| `/"); at != std::string::npos;
       at = page.find("\n| `/", at + 1)) {
    ++rows;
  }
  // The root key of the document has no row.
  BOOST_TEST(rows == ConfigurationKeys().size() - 1);
  for (const ConfigurationKey& key : ConfigurationKeys()) {
    if (key.path.empty()) continue;
    BOOST_TEST(page.find("\n" + RowOf(key)) != std::string::npos, RowOf(key));
  }
}

// The table of keys and the parser define the defaults of omitted keys
// separately, so they must agree.
BOOST_AUTO_TEST_CASE(DefaultsOfTheTableMatchTheParser) {
  auto document = SampleDocument();
  document.erase("rules");
  document["inventory"]["workspaces"][0].erase("weight");
  document["inventory"]["workspaces"][0].erase("limits");
  document["inventory"]["services"][0].erase("kind");
  Findings findings;
  const auto without_optional_keys =
      ParseConfiguration(document.dump(), findings);
  BOOST_TEST_REQUIRE(without_optional_keys.has_value());
  const auto number_at = [](const std::string& path) {
    for (const ConfigurationKey& key : ConfigurationKeys()) {
      if (key.path == path) return std::stod(std::string(key.default_value));
    }
    return -1.0;
  };
  const Workspace& workspace = without_optional_keys->workspaces.at(0);
  BOOST_TEST(number_at("/inventory/workspaces/*/weight") == workspace.weight);
  BOOST_TEST(workspace.limits.tokens_per_second == 0U);
  BOOST_TEST(
      (without_optional_keys->services.at(0).kind == RequestKind::kGeneration));
  for (const Rank rank : {Rank::kUrgent, Rank::kDeferrable}) {
    const std::string place = "/rules/targets/" + std::string(RankName(rank));
    const RankTarget& target =
        without_optional_keys->rules.targets[RankIndex(rank)];
    BOOST_TEST(number_at(place + "/first_token_ms") ==
               static_cast<double>(target.first_token.count()));
    BOOST_TEST(number_at(place + "/token_gap_ms") ==
               static_cast<double>(target.token_gap.count()));
    BOOST_TEST(number_at(place + "/start_within_ms") ==
               static_cast<double>(target.start_within.count()));
  }
  BOOST_TEST(number_at("/rules/deferrable_floor") ==
             without_optional_keys->rules.deferrable_floor);
  BOOST_TEST(number_at("/rules/claim_retention_s") ==
             static_cast<double>(
                 without_optional_keys->rules.claim_retention.count()));
}

}  // namespace
}  // namespace coltsfootfork
