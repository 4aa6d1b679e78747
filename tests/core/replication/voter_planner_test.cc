#include "coltsfootfork/core/replication/voter_planner.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace coltsfootfork {
namespace {

using std::chrono::seconds;

constexpr Time kNow = Time(seconds(1000));
constexpr LogIndex kCommit = 10;

MemberHealth Voter(const std::string& name, const std::string& zone,
                   Duration since_contact = seconds(0)) {
  return {{{ProcessId(name), 1}, ZoneId(zone), MemberRole::kVoter},
          kCommit,
          kNow - since_contact};
}

MemberHealth Learner(const std::string& name, const std::string& zone,
                     LogIndex match) {
  return {
      {{ProcessId(name), 1}, ZoneId(zone), MemberRole::kLearner}, match, kNow};
}

JoinRequest MakeJoinRequest(const std::string& name, const std::string& zone,
                            Incarnation incarnation = 1) {
  return {{ProcessId(name), incarnation}, ZoneId(zone), kNow};
}

// Returns the plan as "add X", "promote X", "remove X", "replace X by Y" or "".
std::string Plan(const std::vector<MemberHealth>& health,
                 const std::vector<JoinRequest>& join_requests) {
  const auto change =
      VoterPlanner({}).Plan(health, join_requests, kCommit, kNow);
  if (!change) return "";
  const std::string name = change->replica.process.value();
  switch (change->kind) {
    case VoterChangeKind::kAddLearner:
      return "add " + name;
    case VoterChangeKind::kPromote:
      return "promote " + name;
    case VoterChangeKind::kRemove:
      return "remove " + name;
    case VoterChangeKind::kReplace:
      return "replace " + change->leaving.process.value() + " by " + name;
  }
  return "";
}

const std::vector<MemberHealth> kAllHealthy = {Voter("a", "x"), Voter("b", "y"),
                                               Voter("c", "z")};
const std::vector<MemberHealth> kOneDead = {Voter("a", "x"), Voter("b", "y"),
                                            Voter("c", "z", seconds(31))};

BOOST_AUTO_TEST_CASE(HealthyGroupIsNotChanged) {
  BOOST_TEST(Plan(kAllHealthy, {MakeJoinRequest("d", "x")}) == "");
  BOOST_TEST(Plan({}, {MakeJoinRequest("d", "x")}) == "");
}

BOOST_AUTO_TEST_CASE(DeadVoterStaysUntilItsReplacementHasCaughtUp) {
  BOOST_TEST(Plan(kOneDead, {}) == "");
  BOOST_TEST(Plan(kOneDead, {MakeJoinRequest("d", "x"),
                             MakeJoinRequest("e", "z")}) == "add e");
  auto group = kOneDead;
  group.push_back(Learner("e", "z", kCommit - 1));
  BOOST_TEST(Plan(group, {}) == "");
  group.back().match = kCommit;
  BOOST_TEST(Plan(group, {}) == "replace c by e");
}

BOOST_AUTO_TEST_CASE(UnreachableVoterIsNotReplacedAtOnce) {
  auto group = kAllHealthy;
  group[2].last_contact = kNow - seconds(29);
  BOOST_TEST(Plan(group, {MakeJoinRequest("d", "z")}) == "");
}

BOOST_AUTO_TEST_CASE(VoterWithAnEmptiedFolderIsReplacedAtOnce) {
  auto group = kAllHealthy;
  group[2].last_contact = kNow - seconds(2);
  BOOST_TEST(Plan(group, {MakeJoinRequest("c", "z", 2)}) == "add c");
}

BOOST_AUTO_TEST_CASE(LearnerWithANewFolderReplacesItsOldVoter) {
  auto group = kAllHealthy;
  group[2].last_contact = kNow - seconds(2);
  group.push_back(Learner("c", "z", kCommit - 1));
  group.back().member.id.incarnation = 2;
  BOOST_TEST(Plan(group, {}) == "");
  group.back().match = kCommit;
  BOOST_TEST(Plan(group, {}) == "replace c by c");
}

BOOST_AUTO_TEST_CASE(GroupGrowsToItsTarget) {
  BOOST_TEST(Plan({Voter("a", "x")}, {MakeJoinRequest("b", "x"),
                                      MakeJoinRequest("c", "y")}) == "add c");
  BOOST_TEST(Plan({Voter("a", "x"), Learner("c", "y", kCommit)}, {}) ==
             "promote c");
}

BOOST_AUTO_TEST_CASE(VotersAreSpreadOverTheZones) {
  const std::vector<MemberHealth> crowded = {Voter("a", "x"), Voter("b", "x"),
                                             Voter("c", "y")};
  BOOST_TEST(Plan(crowded, {MakeJoinRequest("d", "y"),
                            MakeJoinRequest("e", "z")}) == "add e");
  BOOST_TEST(Plan(crowded, {MakeJoinRequest("d", "y")}) == "");
  auto group = crowded;
  group.push_back(Learner("e", "z", kCommit));
  BOOST_TEST(Plan(group, {}) == "replace b by e");
}

BOOST_AUTO_TEST_CASE(UnneededLearnerIsRemoved) {
  auto group = kAllHealthy;
  group.push_back(Learner("d", "x", kCommit));
  BOOST_TEST(Plan(group, {}) == "remove d");
}

}  // namespace
}  // namespace coltsfootfork
