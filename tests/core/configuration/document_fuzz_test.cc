#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/configuration_delta.h"
#include "coltsfootfork/core/configuration/document_tree.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;
using Random = std::mt19937;

void CollectNodes(Json& node, std::vector<Json*>& nodes) {
  nodes.push_back(&node);
  if (!node.is_structured()) return;
  for (Json& child : node) CollectNodes(child, nodes);
}

Json RandomValue(Random& random) {
  switch (random() % 9) {
    case 0:
      return nullptr;
    case 1:
      return -1;
    case 2:
      return 1e300;
    case 3:
      return std::string(random() % 100, 'x');
    case 4:
      return Json::array({1, "a"});
    case 5:
      return Json::object({{"id", "a/b~c"}});
    case 6:
      return true;
    case 7:
      return "\u00f1\n\"";
    default:
      return ~std::uint64_t{0};
  }
}

void MutateTree(Json& document, Random& random) {
  std::vector<Json*> nodes;
  CollectNodes(document, nodes);
  Json& node = *nodes[random() % nodes.size()];
  if (node.is_object() && !node.empty() && random() % 2 == 0) {
    const auto place = static_cast<std::ptrdiff_t>(random() % node.size());
    node.erase(std::next(node.begin(), place));
  } else if (node.is_object()) {
    node["~unknown/" + std::to_string(random() % 3)] = RandomValue(random);
  } else if (node.is_array() && !node.empty()) {
    node.push_back(node[random() % node.size()]);
  } else {
    node = RandomValue(random);
  }
}

// Returns true if the document has a value at the place, or at the parent of a
// missing key.
bool PointsIntoDocument(const Json& document, const std::string& place) {
  Json::json_pointer pointer(place);
  if (document.contains(pointer)) return true;
  return !pointer.empty() && document.contains(pointer.parent_pointer());
}

BOOST_AUTO_TEST_CASE(MutatedTreesProduceFindingsWithExistingPlaces) {
  Random random(1);
  const std::string original = ReadExample("ferrante.json");
  std::size_t accepted = 0;
  std::size_t rejected = 0;
  for (int round = 0; round < 3000; ++round) {
    Json document = Json::parse(original);
    for (unsigned i = 0; i <= random() % 4; ++i) MutateTree(document, random);
    const std::string text = document.dump();
    Findings findings;
    const auto read = ParseConfiguration(text, findings);
    BOOST_TEST_REQUIRE(read.has_value() == findings.empty());
    read.has_value() ? ++accepted : ++rejected;
    for (const Finding& finding : findings.list()) {
      BOOST_TEST_REQUIRE(PointsIntoDocument(document, finding.place),
                         finding.place);
    }
    // An accepted document has a canonical form, and a delta yields that form.
    if (read.has_value()) {
      const auto canonical = CanonicalForm(text);
      BOOST_TEST_REQUIRE(canonical.has_value());
      const auto delta = MakeDelta(original, text);
      BOOST_TEST_REQUIRE(
          (ApplyDelta(original, *delta, Sha256Hex(*canonical)) == canonical));
    }
  }
  BOOST_TEST(accepted > 10U);
  BOOST_TEST(rejected > 2000U);
}

BOOST_AUTO_TEST_CASE(MutatedBytesProduceFindingsWithALineOrPlaces) {
  Random random(2);
  const std::string original = ReadExample("quickstart.json");
  std::size_t damaged = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string text = original;
    for (unsigned i = 0; i <= random() % 3; ++i) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    if (random() % 8 == 0) text.resize(random() % text.size());
    Findings findings;
    const auto read = ParseConfiguration(text, findings);
    BOOST_TEST_REQUIRE(read.has_value() == findings.empty());
    if (Json::accept(text)) continue;
    ++damaged;
    BOOST_TEST_REQUIRE(!findings.empty());
    BOOST_TEST_REQUIRE(findings.list().back().place.substr(0, 5) == "line ",
                       findings.ToText());
  }
  BOOST_TEST(damaged > 1000U);
}

BOOST_AUTO_TEST_CASE(MutatedPatchesNeverYieldAnotherDocument) {
  Random random(3);
  const std::string before = ReadExample("quickstart.json");
  Json document = SampleDocument();
  document["inventory"]["workspaces"][0]["weight"] = 9;
  const std::string after = CanonicalForm(document.dump()).value();
  const std::string delta = MakeDelta(before, after).value();
  const std::string digest = Sha256Hex(after);
  for (int round = 0; round < 5000; ++round) {
    std::string patch = delta;
    patch[random() % patch.size()] = static_cast<char>(random());
    const auto applied = ApplyDelta(before, patch, digest);
    BOOST_TEST_REQUIRE((!applied.has_value() || *applied == after));
  }
}

// A patch that fails midway must revert its earlier operations.
BOOST_AUTO_TEST_CASE(ARejectedPatchLeavesTheTreeUnchanged) {
  Random random(4);
  const std::string before =
      CanonicalForm(ReadExample("quickstart.json")).value();
  const std::string patch = R"([
    {"op":"add","path":"/inventory/engines/engine-3","value":{"a":[1,2]}},
    {"op":"add","path":"/inventory/engines/engine-1","value":7},
    {"op":"add","path":"/rules/ranks/0","value":{"rank":"urgent"}},
    {"op":"add","path":"/rules/ranks/-","value":{"rank":"urgent"}},
    {"op":"remove","path":"/rules/ranks/1"},
    {"op":"replace","path":"/rules/deferrable_floor","value":0.5},
    {"op":"remove","path":"/inventory/services"},
    {"op":"remove","path":"/no/such/place"}])";
  std::size_t rejected = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string mutated = patch;
    if (round > 0) {
      mutated[random() % mutated.size()] = "019abz/-\"{[,"[random() % 12];
    }
    DocumentTree tree = DocumentTree::Read(before).value();
    if (tree.Patch(mutated)) continue;
    ++rejected;
    BOOST_TEST_REQUIRE(tree.ToText() == before, mutated);
  }
  BOOST_TEST(rejected > 4000U);
}

}  // namespace
}  // namespace coltsfootfork
