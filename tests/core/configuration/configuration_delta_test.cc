#include "coltsfootfork/core/configuration/configuration_delta.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/diff_configurations.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

std::string Canonical(const std::string& text) {
  return CanonicalForm(text).value();
}

BOOST_AUTO_TEST_CASE(Sha256MatchesAKnownDigest) {
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(OrderAndSpacingDoNotChangeTheCanonicalForm) {
  Json document = SampleDocument();
  Json& engines = document["inventory"]["engines"];
  std::swap(engines[0], engines[1]);
  BOOST_TEST(Canonical(document.dump(4)) ==
             Canonical(ReadExample("quickstart.json")));
  engines[0]["id"] = engines[1]["id"];
  BOOST_TEST(!CanonicalForm(document.dump()).has_value());
}

BOOST_AUTO_TEST_CASE(ApplyingADeltaYieldsTheOtherDocument) {
  const std::string before = ReadExample("espejo-vivo.json");
  Json document = Json::parse(before);
  Json& workspaces = document["inventory"]["workspaces"];
  workspaces.erase(4);
  workspaces[0]["weight"] = 7;
  Json added = workspaces[1];
  added["id"] = "aa-first";
  workspaces.insert(workspaces.begin(), added);
  const std::string after = Canonical(document.dump());
  const std::string delta = MakeDelta(before, after).value();
  BOOST_TEST(delta.size() < after.size() / 5);
  BOOST_TEST((ApplyDelta(before, delta, Sha256Hex(after)) == after));
}

BOOST_AUTO_TEST_CASE(ADeltaWithAnotherDigestOrBaseIsRefused) {
  const std::string before = ReadExample("quickstart.json");
  Json document = SampleDocument();
  document["rules"]["deferrable_floor"] = 0.5;
  const std::string after = Canonical(document.dump());
  const std::string delta = MakeDelta(before, after).value();
  const std::string digest = Sha256Hex(after);
  BOOST_TEST(!ApplyDelta(before, delta, Sha256Hex(before)).has_value());
  BOOST_TEST(
      !ApplyDelta(ReadExample("ferrante.json"), delta, digest).has_value());
  BOOST_TEST(!ApplyDelta(before, "[{\"op\":", digest).has_value());
  BOOST_TEST(!ApplyDelta(before, "{}", digest).has_value());
  BOOST_TEST(!ApplyDelta(before, R"([{"op":"remove","path":"/x/y"}])", digest)
                  .has_value());
  BOOST_TEST(
      !ApplyDelta(before, R"([{"op":"copy","from":"","path":"/x"}])", digest)
           .has_value());
}

BOOST_AUTO_TEST_CASE(ADiffReportsPlacesAndEntities) {
  Json document = SampleDocument();
  Json& inventory = document["inventory"];
  Json added = inventory["engines"][0];
  added["id"] = "engine-0";
  inventory["engines"].erase(1);
  inventory["engines"].push_back(added);
  inventory["workspaces"][0]["weight"] = 3;
  document["rules"].erase("claim_retention_s");
  Findings findings;
  const auto changes = DiffConfigurations(ReadExample("quickstart.json"),
                                          document.dump(), findings);
  BOOST_TEST_REQUIRE(changes.has_value());
  std::string text;
  for (const auto& change : *changes) text += change.ToText() + "\n";
  BOOST_TEST(
      text ==
      "added /inventory/engines/1 (engine-0): "
      "{\"availability_zone\":\"local\",\"services\":[\"mirror\",\"ledger\"]}\n"
      "removed /inventory/engines/1 (engine-2): "
      "{\"availability_zone\":\"local\",\"services\":[\"mirror\",\"ledger\"]}\n"
      "changed /inventory/workspaces/0/weight (demo): 1 -> 3\n"
      "removed /rules/claim_retention_s: 86400\n");
}

BOOST_AUTO_TEST_CASE(ADiffOfUnreadableTextAddsAFinding) {
  Findings findings;
  BOOST_TEST(!DiffConfigurations("{", "[]", findings).has_value());
  BOOST_TEST(findings.list().size() == 1U);
}

}  // namespace
}  // namespace coltsfootfork
