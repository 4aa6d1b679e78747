#include "coltsfootfork/core/fleet/bootstrap_coordinator.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using Names = std::vector<std::string>;

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Time kAfterDiscovery = kStart + std::chrono::seconds(2);
const Names kSeeds = {"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"};

ControlDigest DigestOf(bool can_bootstrap) {
  ControlDigest digest;
  digest.can_bootstrap = can_bootstrap;
  return digest;
}

BOOST_AUTO_TEST_CASE(LowestSeedSelectsAllProcessesThatCanBootstrap) {
  BootstrapCoordinator bootstrap("10.1.0.1:1", kSeeds, kStart);
  const std::map<std::string, ControlDigest> digests = {
      {"10.1.0.2:1", DigestOf(false)},
      {"10.1.0.3:1", DigestOf(true)},
      {"10.1.0.9:1", DigestOf(true)}};
  BOOST_TEST(bootstrap.Decide(true, digests, kStart).empty());
  BOOST_TEST(bootstrap.Decide(true, digests, kAfterDiscovery) ==
                 (Names{"10.1.0.1:1", "10.1.0.3:1", "10.1.0.9:1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OtherSeedsDoNotDecide) {
  BootstrapCoordinator bootstrap("10.1.0.2:1", kSeeds, kStart);
  BOOST_TEST(
      bootstrap.Decide(true, {{"10.1.0.1:1", DigestOf(true)}}, kAfterDiscovery)
          .empty());
}

BOOST_AUTO_TEST_CASE(PeersDecisionIsAdoptedAndKept) {
  BootstrapCoordinator bootstrap("10.1.0.2:1", kSeeds, kStart);
  ControlDigest decided = DigestOf(true);
  decided.bootstrap_voters = {"10.1.0.1:1", "10.1.0.2:1"};
  BOOST_TEST(bootstrap.Decide(true, {{"10.1.0.1:1", decided}}, kStart).size() ==
             2U);
  BOOST_TEST(bootstrap.Decide(true, {}, kAfterDiscovery).size() == 2U);
}

BOOST_AUTO_TEST_CASE(ExistingGroupIsNotBootstrappedAgain) {
  BootstrapCoordinator bootstrap("10.1.0.1:1", kSeeds, kStart);
  ControlDigest member = DigestOf(false);
  member.voters = {"10.1.0.3:1"};
  BOOST_TEST(bootstrap.Decide(true, {{"10.1.0.3:1", member}}, kAfterDiscovery)
                 .empty());
}

BOOST_AUTO_TEST_CASE(DecisionWaitsForMissingSeed) {
  BootstrapCoordinator bootstrap("10.1.0.1:1", kSeeds, kStart);
  BOOST_TEST(
      bootstrap.Decide(true, {{"10.1.0.2:1", DigestOf(true)}}, kAfterDiscovery)
          .empty());
}

}  // namespace
}  // namespace coltsfootfork
