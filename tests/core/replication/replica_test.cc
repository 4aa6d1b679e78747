#include "coltsfootfork/core/replication/replica.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <variant>

#include "core/replication/cluster.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(SingleVoterLeadsAndCommits) {
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

BOOST_AUTO_TEST_CASE(ThreeVotersSurviveLossOfTheLeader) {
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

BOOST_AUTO_TEST_CASE(IsolatedLeaderRejectsProposalsBeforeTheNextElection) {
  Cluster cluster(3, {0, 1, 2}, {}, 3);
  for (std::size_t i = 0; i < 3; ++i) cluster.Start(i);
  cluster.RunFor(seconds(5));
  const std::size_t leader = cluster.LeaseHolder();
  BOOST_REQUIRE(leader < cluster.size());
  cluster.Isolate(leader, true, true);
  cluster.RunFor(milliseconds(1600));
  const ProposalId proposal = cluster.ProposeAt(leader, "0 8");
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kNotLeader));
  cluster.RunFor(seconds(5));
  BOOST_TEST(cluster.LeaseHolder() < cluster.size());
  BOOST_TEST(cluster.LeaseHolder() != leader);
  BOOST_TEST(cluster.checks().problems().empty());
}

// Makes replica "b" of the voters a, b and c the leader of term 3, with an
// entry of term 2 in its log and its first entry of term 3 unsynced.
class NewLeader {
 public:
  NewLeader() : replica_(Options(), RecoveredPast(), 1, now_) {
    now_ += seconds(4);
    replica_.Tick(now_);
    FromA(VoteReply{true, 3, true});
    Handle(PersistDone{1});
    FromA(VoteReply{false, 3, true});
  }

  void Handle(const ReplicaInput& input) { replica_.Handle(input, now_); }
  void FromA(const ReplicaMessageBody& body) {
    Handle(ReplicaMessageReceived{ProcessId("a"), {1, 2, 9, body}});
  }
  const Replica& replica() const { return replica_; }

 private:
  static ReplicaOptions Options() {
    ReplicaOptions options;
    options.self = ProcessId("b");
    return options;
  }
  static RecoveredState RecoveredPast() {
    RecoveredState past;
    past.incarnation = 2;
    past.hard_state.group = 9;
    past.hard_state.term = 2;
    Membership membership;
    Incarnation incarnation = 1;
    for (const char* name : {"a", "b", "c"}) {
      membership.members.push_back(
          {{ProcessId(name), incarnation++}, ZoneId("x"), MemberRole::kVoter});
    }
    past.entries.push_back({1, 1, EntryKind::kMembership, {}, membership});
    past.entries.push_back({2, 2, EntryKind::kCommand, "0 7", {}});
    return past;
  }

  Time now_ = Time(seconds(100));
  Replica replica_;
};

BOOST_AUTO_TEST_CASE(EntryOfAnEarlierTermCommitsOnlyWithTheCurrentTerm) {
  NewLeader leader;
  BOOST_REQUIRE((leader.replica().role() == ReplicaRole::kLeader));
  leader.Handle(PersistDone{2});
  leader.FromA(AppendReply{3, true, 2, 0, 0});
  BOOST_TEST(leader.replica().commit_index() == 0U);
  leader.FromA(AppendReply{3, true, 3, 0, 0});
  BOOST_TEST(leader.replica().commit_index() == 3U);
}

BOOST_AUTO_TEST_CASE(LeadersOwnEntryCountsOnlyOnceSynced) {
  NewLeader leader;
  leader.FromA(AppendReply{3, true, 3, 0, 0});
  BOOST_TEST(leader.replica().commit_index() == 0U);
  leader.Handle(PersistDone{2});
  BOOST_TEST(leader.replica().commit_index() == 3U);
}

// If the learner alone has the latest entries, no voter can be elected.
BOOST_AUTO_TEST_CASE(LearnerCampaignsLaterThanVoters) {
  RecoveredState past;
  past.incarnation = 2;
  past.hard_state.group = 9;
  past.hard_state.term = 2;
  Membership membership;
  membership.members.resize(2);
  membership.members[0].id = {ProcessId("a"), 1};
  membership.members[0].role = MemberRole::kVoter;
  membership.members[1].id = {ProcessId("b"), 2};
  past.entries.push_back({1, 1, EntryKind::kMembership, {}, membership});
  ReplicaOptions options;
  options.self = ProcessId("b");
  const Time start(seconds(100));
  Replica replica(options, past, 1, start);
  replica.Tick(start + 4 * options.min_election_timeout);
  BOOST_TEST((replica.role() == ReplicaRole::kLearner));
  replica.Tick(start + 6 * options.min_election_timeout);
  BOOST_TEST((replica.role() == ReplicaRole::kPreCandidate));
}

// Guards against a fault that a fault schedule found: a reply to a request of
// an earlier term was counted for the same leader's current term, and renewed
// its lease.
BOOST_AUTO_TEST_CASE(ReplyToAnEarlierTermDoesNotRenewTheLease) {
  RecoveredState past;
  past.incarnation = 2;
  past.hard_state.group = 9;
  past.hard_state.term = 7;
  ReplicaOptions options;
  options.self = ProcessId("b");
  const Time now(seconds(100));
  Replica replica(options, past, 1, now);
  AppendRequest stale;
  stale.term = 5;
  stale.sent_ms = 800;
  const auto effects = replica.Handle(
      ReplicaMessageReceived{ProcessId("a"), {1, 2, 9, stale}}, now);
  BOOST_REQUIRE_EQUAL(effects.size(), 1U);
  const auto& reply = std::get<SendReplicaMessage>(effects[0]).message.body;
  BOOST_REQUIRE(std::holds_alternative<StaleTermReply>(reply));
  BOOST_TEST(std::get<StaleTermReply>(reply).term == 7U);
}

BOOST_AUTO_TEST_CASE(VoteIsSentOnlyAfterSync) {
  RecoveredState blank;
  blank.incarnation = 2;
  ReplicaOptions options;
  options.self = ProcessId("b");
  const Time now(seconds(100));
  Replica replica(options, blank, 1, now);
  const auto before_sync = replica.Handle(
      ReplicaMessageReceived{ProcessId("a"),
                             {1, 2, 9, VoteRequest{false, 3, 1, 1}}},
      now);
  for (const ReplicaEffect& effect : before_sync) {
    BOOST_TEST(!std::holds_alternative<SendReplicaMessage>(effect));
  }
  const auto after_sync = replica.Handle(PersistDone{1}, now);
  BOOST_REQUIRE_EQUAL(after_sync.size(), 1U);
  const auto& reply = std::get<SendReplicaMessage>(after_sync[0]).message.body;
  BOOST_TEST(std::get<VoteReply>(reply).granted);
}

// A voter may have acknowledged a leader just before its restart.
BOOST_AUTO_TEST_CASE(RestartedVoterWithholdsItsVote) {
  RecoveredState past;
  past.incarnation = 2;
  past.hard_state.group = 9;
  past.hard_state.term = 7;
  ReplicaOptions options;
  options.self = ProcessId("b");
  const Time start(seconds(100));
  Replica replica(options, past, 1, start);
  const ReplicaMessageReceived request{ProcessId("a"),
                                       {1, 2, 9, VoteRequest{false, 8, 1, 7}}};
  const auto early = replica.Handle(
      request, start + options.min_election_timeout - milliseconds(1));
  BOOST_TEST(!std::get<VoteReply>(
                  std::get<SendReplicaMessage>(early.at(0)).message.body)
                  .granted);
  replica.Handle(request, start + options.min_election_timeout);
  const auto after_sync =
      replica.Handle(PersistDone{1}, start + options.min_election_timeout);
  BOOST_TEST(std::get<VoteReply>(
                 std::get<SendReplicaMessage>(after_sync.at(0)).message.body)
                 .granted);
}

BOOST_AUTO_TEST_CASE(FailedDiskHaltsTheReplica) {
  Cluster cluster(1, {0}, {}, 4);
  cluster.Start(0);
  cluster.RunFor(seconds(1));
  const ProposalId proposal = cluster.ProposeAt(0, "0 7");
  cluster.FailDisk(0);
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kLeadershipLost));
  BOOST_TEST((cluster.node(0).replica->role() == ReplicaRole::kHalted));
  cluster.RunFor(seconds(5));
  BOOST_TEST(cluster.LeaseHolder() == cluster.size());
}

// Three voters, one of them dead, and a learner that can replace it.
struct DeadVoterAndLearner {
  DeadVoterAndLearner() : cluster(4, {0, 1, 2}, {}, 5) {
    for (std::size_t i = 0; i < 4; ++i) cluster.Start(i);
    cluster.RunFor(seconds(5));
    leader = cluster.LeaseHolder();
    const std::size_t dead = leader == 0 ? 1 : 0;
    cluster.Crash(dead);
    joining = cluster.node(3).replica->self();
    dead_id = {cluster.node(dead).process,
               cluster.node(dead).disk.synced().incarnation};
    cluster.Input(
        leader,
        ChangeVoter{
            VoterChangeKind::kAddLearner, joining, ZoneId("zone-0"), {}});
    cluster.RunFor(seconds(1));
  }

  void Replace() {
    cluster.Input(leader, ChangeVoter{VoterChangeKind::kReplace, joining,
                                      ZoneId("zone-0"), dead_id});
  }

  Cluster cluster;
  std::size_t leader = 0;
  ReplicaId joining;
  ReplicaId dead_id;
};

// The learner fails undetected just as it replaces a dead voter. If it were
// added as a fourth voter instead, two of four voters would be dead and the
// group would lose its quorum permanently.
BOOST_AUTO_TEST_CASE(GroupSurvivesAReplacementThatFailsAtOnce) {
  DeadVoterAndLearner group;
  Cluster& cluster = group.cluster;
  cluster.Isolate(3, true, true);
  group.Replace();
  cluster.RunFor(seconds(3));
  const std::size_t next = cluster.LeaseHolder();
  BOOST_REQUIRE(next < cluster.size());
  const ProposalId proposal = cluster.ProposeAt(next, "0 7");
  cluster.RunFor(seconds(1));
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kCommitted));
  BOOST_TEST(cluster.voter_changes() == 2U);
}

// Guards against a fault seen with real processes: the status listed a replica
// as voter before its membership entry was committed. The leader was lost
// at that point, and the group lost its quorum.
BOOST_AUTO_TEST_CASE(ReplacementIsACommittedVoterOnlyAfterCommit) {
  DeadVoterAndLearner group;
  Cluster& cluster = group.cluster;
  const Replica& replica = *cluster.node(group.leader).replica;
  const ReplicaId joining = group.joining;
  BOOST_TEST(!replica.IsCommittedVoter(joining));
  group.Replace();
  // The entry is appended, but not committed yet.
  BOOST_TEST(replica.membership().IsVoter(joining));
  BOOST_TEST(!replica.IsCommittedVoter(joining));
  cluster.RunFor(seconds(3));
  BOOST_TEST(replica.IsCommittedVoter(joining));
  BOOST_TEST(!replica.IsCommittedVoter(group.dead_id));
  cluster.Crash(group.leader);
  cluster.RunFor(seconds(8));
  BOOST_TEST(cluster.LeaseHolder() < cluster.size());
}

// Bootstrap voters may start in any order. One with an emptied data folder must
// not bootstrap a second group.
BOOST_AUTO_TEST_CASE(EmptiedBootstrapVoterJoinsTheExistingGroup) {
  Cluster cluster(3, {0, 1, 2}, {}, 6);
  for (const std::size_t i : {2U, 0U, 1U}) {
    BOOST_TEST(cluster.LeaseHolder() == cluster.size());
    cluster.Start(i);
    cluster.RunFor(seconds(3));
  }
  const ProposalId proposal = cluster.ProposeAt(cluster.LeaseHolder(), "0 7");
  cluster.RunFor(seconds(1));
  BOOST_TEST(cluster.HasOutcome(proposal, ProposalOutcome::kCommitted));
  cluster.Crash(0);
  cluster.LoseDisk(0);
  cluster.Start(0);
  cluster.RunFor(seconds(10));
  BOOST_TEST((cluster.node(0).replica->role() == ReplicaRole::kUninitialized));
  const std::size_t holder = cluster.LeaseHolder();
  BOOST_REQUIRE(holder < cluster.size());
  const auto join_requests =
      cluster.node(holder).replica->JoinRequests(cluster.LocalTime(holder));
  BOOST_REQUIRE_EQUAL(join_requests.size(), 1U);
  BOOST_TEST((join_requests[0].replica == cluster.node(0).replica->self()));
}

}  // namespace
}  // namespace coltsfootfork
