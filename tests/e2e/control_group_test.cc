#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "support/fleet.h"

// Three control replicas as real processes: kill -9 and a freeze of the leader
// in mid-change.
namespace coltsfootfork {
namespace {

using nlohmann::json;

const char* const kVoters[] = {"control-1", "control-2", "control-3"};

struct ControlGroup {
  ControlGroup() {
    json seeds = json::array();
    for (const char* voter : kVoters) {
      seeds.push_back(
          {{"process", voter}, {"address", Fleet::UnusedAddress()}});
    }
    for (std::size_t i = 0; i < 3; ++i) {
      settings[kVoters[i]] = {{"control", {{"founders", kVoters}}},
                              {"control_seeds", seeds},
                              {"peer", {{"listen", seeds[i]["address"]}}}};
      Start(kVoters[i]);
    }
  }

  void Start(const std::string& voter) {
    admin[voter] = fleet.Start(voter, settings[voter])["admin"];
  }

  std::string Leader() {
    std::string leader;
    Fleet::Await("a leader is known", [&] {
      for (const char* voter : kVoters) {
        if (frozen == voter || !fleet.process(voter).running()) continue;
        leader = fleet.Status(admin[voter]).value("leader", std::string());
        if (!leader.empty() && leader != frozen) return true;
      }
      return false;
    });
    return leader;
  }

  // A voter that is neither the given one nor frozen.
  std::string Other(const std::string& than) const {
    for (const char* voter : kVoters) {
      if (than != voter && frozen != voter) return voter;
    }
    return {};
  }

  // What a voter's status says of a replica of that name; the voter where it
  // has two.
  json Replica(const std::string& asked, const std::string& name) {
    json found = json::object();
    const json status = fleet.Status(admin.at(asked));
    for (const json& replica : status.value("replicas", json::array())) {
      if (replica["process"] != name) continue;
      if (found.empty() || replica["voter"] == true) found = replica;
    }
    return found;
  }

  int RevisionSeenBy(const std::string& voter) {
    return fleet.Status(admin.at(voter)).value("revision", -1);
  }

  Fleet fleet;
  std::map<std::string, json> settings;
  std::map<std::string, std::string> admin;
  std::string frozen;
};

json DocumentWithWeight(int weight) {
  json document = DemoConfiguration();
  document["inventory"]["workspaces"][0]["weight"] = weight;
  return document;
}

BOOST_AUTO_TEST_CASE(KilledLeaderLosesNoAcceptedChange) {
  ControlGroup group;
  int revision = 0;
  for (int round = 0; round < 3; ++round) {
    const std::string leader = group.Leader();
    const std::string other = group.Other(leader);
    group.fleet.Apply(group.admin[other], DocumentWithWeight(round + 1),
                      revision);
    ++revision;
    group.fleet.Kill(leader);
    group.fleet.Apply(group.admin[other], DocumentWithWeight(round + 10),
                      revision);
    ++revision;
    BOOST_TEST(group.RevisionSeenBy(other) == revision);
    group.Start(leader);
  }
  // The replica that was killed last has caught up and never goes back.
  Fleet::Await("all replicas have the last revision", [&] {
    const json status = group.fleet.Status(group.admin["control-1"]);
    int in_force = 0;
    for (const json& process : status.value("processes", json::array())) {
      if (process.value("revision", -1) == revision) ++in_force;
    }
    return in_force == 3;
  });
}

BOOST_AUTO_TEST_CASE(FrozenLeaderDoesNotActAfterItsReturn) {
  ControlGroup group;
  const std::string leader = group.Leader();
  const std::string other = group.Other(leader);
  group.fleet.Apply(group.admin[other], DocumentWithWeight(1), 0);
  group.fleet.process(leader).Signal(SIGSTOP);
  group.frozen = leader;
  group.fleet.Apply(group.admin[other], DocumentWithWeight(2), 1);
  group.fleet.process(leader).Signal(SIGCONT);
  group.frozen.clear();
  // The old leader must not accept a change on top of revision 1.
  HttpResponse response;
  Fleet::Await("the old leader answers", [&] {
    response = Fleet::Put(group.admin[leader], DocumentWithWeight(3), 1,
                          "change-of-the-old-leader");
    return response.status != 0 && response.status != 503;
  });
  BOOST_TEST(response.status == 412);
  BOOST_TEST(json::parse(response.body)["revision"].get<int>() == 2);
  BOOST_TEST(json::parse(response.body)["change_id"].get<std::string>() ==
             "change-after-1");
}

BOOST_AUTO_TEST_CASE(ReplicaWithAnEmptiedFolderComesBackAsANewOne) {
  ControlGroup group;
  const std::string leader = group.Leader();
  const std::string lost = group.Other(leader);
  group.fleet.Apply(group.admin[leader], DocumentWithWeight(1), 0);
  const json before = group.Replica(leader, lost);
  group.fleet.Kill(lost);
  std::filesystem::remove_all(group.fleet.folder() + "/" + lost);
  group.Start(lost);
  Fleet::Await("the new replica is a voter in the old one's place", [&] {
    const json now = group.Replica(leader, lost);
    return now.value("voter", false) &&
           now["incarnation"] != before["incarnation"];
  });
  // A second host is lost straight after the repair.
  group.fleet.Kill(leader);
  group.fleet.Apply(group.admin[lost], DocumentWithWeight(2), 1);
  BOOST_TEST(group.RevisionSeenBy(lost) == 2);
}

BOOST_AUTO_TEST_CASE(OfTwoOperatorsWithOneNumberOneWins) {
  ControlGroup group;
  group.fleet.Apply(group.admin["control-1"], DocumentWithWeight(1), 0);
  std::vector<int> statuses;
  for (const char* voter : kVoters) {
    statuses.push_back(Fleet::Put(group.admin[voter], DocumentWithWeight(5), 1,
                                  std::string("change-by-") + voter)
                           .status);
  }
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == 1);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 412) == 2);
  // The winner's resend, through another replica, gets the first answer.
  const HttpResponse again =
      Fleet::Put(group.admin["control-3"], DocumentWithWeight(5), 1,
                 "change-by-control-1");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(json::parse(again.body)["revision"].get<int>() == 2);
}

BOOST_AUTO_TEST_CASE(AllRestartedAtOnceKeepTheRevision) {
  ControlGroup group;
  constexpr int kChanges = 30;
  for (int i = 0; i < kChanges; ++i) {
    group.fleet.Apply(group.admin["control-1"], DocumentWithWeight(i + 1), i);
  }
  for (const char* voter : kVoters) group.fleet.Kill(voter);
  for (const char* voter : kVoters) group.Start(voter);
  Fleet::Await("the group answers again",
               [&] { return group.RevisionSeenBy("control-2") >= 0; });
  BOOST_TEST(group.RevisionSeenBy("control-2") == kChanges);
}

}  // namespace
}  // namespace coltsfootfork
