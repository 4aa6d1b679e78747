#include "coltsfootfork/core/configuration/serving_rules.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "core/configuration/sample_document.h"

namespace coltsfootfork {
namespace {

const WorkspaceId kDemo("demo");
const ServiceId kMirror("mirror");
const ServiceId kLedger("ledger");

ServingRules RulesOf(const std::string& text) {
  Findings findings;
  auto read = ParseConfiguration(text, findings);
  BOOST_TEST_REQUIRE(read.has_value(), findings.ToText());
  return ServingRules(std::make_shared<const Configuration>(*read));
}

BOOST_AUTO_TEST_CASE(TheFirstMatchingRankRuleApplies) {
  auto document = SampleDocument();
  document["rules"]["ranks"] = {
      {{"rank", "deferrable"}, {"workspace", "demo"}, {"service", "ledger"}},
      {{"rank", "urgent"}, {"workspace", "demo"}},
      {{"rank", "deferrable"}, {"service", "mirror"}},
      {{"rank", "urgent"}},
      {{"rank", "deferrable"}}};
  const ServingRules rules = RulesOf(document.dump());
  BOOST_TEST((rules.RankOf(kDemo, kLedger) == Rank::kDeferrable));
  BOOST_TEST((rules.RankOf(kDemo, kMirror) == Rank::kUrgent));
  const WorkspaceId other("other");
  BOOST_TEST((rules.RankOf(other, kMirror) == Rank::kDeferrable));
  BOOST_TEST((rules.RankOf(other, kLedger) == Rank::kUrgent));
}

BOOST_AUTO_TEST_CASE(WithoutAMatchingRuleWorkIsDeferrable) {
  const ServingRules rules = RulesOf(ReadExample("quickstart.json"));
  BOOST_TEST((rules.RankOf(kDemo, kMirror) == Rank::kUrgent));
  BOOST_TEST((rules.RankOf(kDemo, kLedger) == Rank::kDeferrable));
}

BOOST_AUTO_TEST_CASE(EveryEquivalentPathMatchesANonIdempotentRule) {
  const ServingRules rules = RulesOf(ReadExample("espejo-vivo.json"));
  const ServiceId ledger("stall-ledger");
  for (const char* path : {"/sales", "/sales/7?now=1", "//sales", "/./sales",
                           "/%73ales", "/stock/../sales", "/%2e%2e/sales#x"}) {
    BOOST_TEST(rules.IsNonIdempotent(ledger, "POST", path), path);
  }
  BOOST_TEST(rules.IsNonIdempotent(ledger, "post", "/sales"));
  BOOST_TEST(!rules.IsNonIdempotent(ledger, "GET", "/sales"));
  BOOST_TEST(!rules.IsNonIdempotent(ledger, "POST", "/reports"));
  BOOST_TEST(!rules.IsNonIdempotent(kMirror, "POST", "/sales"));
}

BOOST_AUTO_TEST_CASE(AWorkspaceIsFoundOnlyByItsBearerKey) {
  const ServingRules rules = RulesOf(ReadExample("ferrante.json"));
  const Workspace* workspace = rules.FindWorkspaceByKey("example-key-ws-07");
  BOOST_TEST_REQUIRE((workspace != nullptr));
  BOOST_TEST(workspace->id == WorkspaceId("ws-07"));
  BOOST_TEST((rules.FindWorkspaceByKey("") == nullptr));
  // The digest itself is not accepted as a key.
  BOOST_TEST((rules.FindWorkspaceByKey(workspace->key_sha256) == nullptr));
}

BOOST_AUTO_TEST_CASE(EntitiesAreFoundById) {
  const ServingRules rules = RulesOf(ReadExample("quickstart.json"));
  BOOST_TEST((rules.FindService(kLedger)->kind == RequestKind::kPlainCall));
  BOOST_TEST((rules.FindService(ServiceId("other")) == nullptr));
  BOOST_TEST((rules.FindServer(ServerId("engine-2")) != nullptr));
  BOOST_TEST((rules.FindWorkspace(kDemo) != nullptr));
}

}  // namespace
}  // namespace coltsfootfork
