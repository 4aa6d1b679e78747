#include "coltsfootfork/core/replication/replica.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/replication/cluster.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(OneVoterLeadsAndCommits) {
  Cluster cluster(1, {0}, {}, 1);
  cluster.Start(0);
  cluster.RunFor(seconds(1));
  BOOST_REQUIRE_EQUAL(cluster.LeaseHolder(), 0U);
  const ProposalId proposal = cluster.ProposeAt(0, "0 7");
  BOOST_TEST(!cluster.HasOutcome(proposal, ProposalOutcome::kCommitted));
  cluster.RunFor(milliseconds(10));
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kCommitted));
  BOOST_TEST(cluster.node(0).state.value == 7U);
}

BOOST_AUTO_TEST_CASE(ThreeVotersElectReplicateAndSurviveTheLeader) {
  Cluster cluster(3, {0, 1, 2}, {}, 2);
  for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
  cluster.RunFor(seconds(5));
  const std::size_t leader = cluster.LeaseHolder();
  BOOST_REQUIRE(leader < cluster.size());
  const ProposalId proposal = cluster.ProposeAt(leader, "0 7");
  cluster.RunFor(seconds(1));
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kCommitted));
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(cluster.node(i).state.value == 7U);
  }
  cluster.Crash(leader);
  cluster.RunFor(seconds(8));
  const std::size_t next = cluster.LeaseHolder();
  BOOST_REQUIRE(next < cluster.size());
  BOOST_TEST(next != leader);
  BOOST_TEST(cluster.node(next).state.value == 7U);
  BOOST_TEST(cluster.checks().problems().empty());
}

BOOST_AUTO_TEST_CASE(ALeaderThatIsCutOffRefusesBeforeAnotherLeads) {
  Cluster cluster(3, {0, 1, 2}, {}, 3);
  for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
  cluster.RunFor(seconds(5));
  const std::size_t leader = cluster.LeaseHolder();
  BOOST_REQUIRE(leader < cluster.size());
  cluster.Cut(leader, true, true);
  cluster.RunFor(milliseconds(1600));
  const ProposalId late = cluster.ProposeAt(leader, "0 8");
  BOOST_TEST(cluster.HasOutcome(late, ProposalOutcome::kNotLeader));
  cluster.RunFor(seconds(5));
  BOOST_TEST(cluster.LeaseHolder() < cluster.size());
  BOOST_TEST(cluster.LeaseHolder() != leader);
  BOOST_TEST(cluster.checks().problems().empty());
}

}  // namespace
}  // namespace coltsfootfork
