#include "coltsfootfork/core/control/control_replica.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Concatenates the commands and replies with the total length.
class ConcatenatingStateMachine : public StateMachine {
 public:
  std::string Apply(const std::string& command) override {
    text_ += command;
    return std::to_string(text_.size());
  }
  std::string Snapshot() const override { return text_; }
  void Restore(const std::string& snapshot) override { text_ = snapshot; }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// A replica group of one member whose writes persist immediately.
class SingleMemberGroup {
 public:
  explicit SingleMemberGroup(RecoveredState recovered)
      : control_(Replica(Options(), std::move(recovered), 1, now_),
                 state_machine_, {}) {
    for (int i = 0; i < 100; ++i) {
      now_ += milliseconds(50);
      HandleEffects(control_.Tick(now_));
    }
  }

  void Propose(ProposalId proposal, const std::string& command) {
    HandleEffects(control_.Propose(proposal, command, now_));
  }
  const ConcatenatingStateMachine& state_machine() const {
    return state_machine_;
  }
  const std::vector<CommandCompleted>& completed() const { return completed_; }
  const std::optional<Snapshot>& snapshot() const { return snapshot_; }
  bool MayRead() const { return control_.MayRead(now_); }

 private:
  static ReplicaOptions Options() {
    ReplicaOptions options;
    options.self = ProcessId("a");
    options.seeds = {options.self};
    options.snapshot_entries = 10;
    return options;
  }

  void HandleEffects(const std::vector<ControlReplicaEffect>& effects) {
    for (const ControlReplicaEffect& effect : effects) {
      if (const auto* result = std::get_if<CommandCompleted>(&effect)) {
        completed_.push_back(*result);
      } else if (const auto* persist = std::get_if<Persist>(&effect)) {
        if (persist->snapshot) snapshot_ = persist->snapshot;
        HandleEffects(control_.Handle(PersistDone{persist->token}, now_));
      }
    }
  }

  Time now_ = Time(seconds(100));
  ConcatenatingStateMachine state_machine_;
  ControlReplica control_;
  std::vector<CommandCompleted> completed_;
  std::optional<Snapshot> snapshot_;
};

RecoveredState EmptyState() {
  RecoveredState empty_state;
  empty_state.incarnation = 1;
  return empty_state;
}

BOOST_AUTO_TEST_CASE(EachCommandGetsItsOwnReply) {
  SingleMemberGroup group_of_one(EmptyState());
  BOOST_REQUIRE(group_of_one.MayRead());
  group_of_one.Propose(7, "a");
  group_of_one.Propose(8, "b");
  BOOST_REQUIRE_EQUAL(group_of_one.completed().size(), 2U);
  BOOST_TEST(group_of_one.completed()[0].proposal == 7U);
  BOOST_TEST(group_of_one.completed()[0].reply == "1");
  BOOST_TEST(group_of_one.completed()[1].proposal == 8U);
  BOOST_TEST(group_of_one.completed()[1].reply == "2");
}

BOOST_AUTO_TEST_CASE(SnapshotRestoresTheStateMachine) {
  SingleMemberGroup group_of_one(EmptyState());
  for (ProposalId i = 1; i <= 30; ++i) group_of_one.Propose(i, "x");
  BOOST_REQUIRE(group_of_one.snapshot().has_value());
  RecoveredState recovered = EmptyState();
  recovered.hard_state.group = 9;
  recovered.hard_state.term = 2;
  recovered.snapshot = group_of_one.snapshot();
  const SingleMemberGroup restored(recovered);
  BOOST_TEST(restored.MayRead());
  BOOST_TEST(restored.state_machine().text() == group_of_one.snapshot()->bytes);
  BOOST_TEST(restored.state_machine().text().size() >= 20U);
}

}  // namespace
}  // namespace coltsfootfork
