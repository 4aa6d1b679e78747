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
class Journal : public StateMachine {
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
class Host {
 public:
  explicit Host(RecoveredState recovered)
      : control_(Replica(Options(), std::move(recovered), 1, now_), journal_,
                 {}) {
    for (int i = 0; i < 100; ++i) {
      now_ += milliseconds(50);
      Carry(control_.Tick(now_));
    }
  }

  void Propose(ProposalId proposal, const std::string& command) {
    Carry(control_.Propose(proposal, command, now_));
  }
  const Journal& journal() const { return journal_; }
  const std::vector<CommandCompleted>& answers() const { return answers_; }
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

  void Carry(const std::vector<ControlReplicaEffect>& effects) {
    for (const ControlReplicaEffect& effect : effects) {
      if (const auto* answer = std::get_if<CommandCompleted>(&effect)) {
        answers_.push_back(*answer);
      } else if (const auto* persist = std::get_if<Persist>(&effect)) {
        if (persist->snapshot) snapshot_ = persist->snapshot;
        Carry(control_.Handle(PersistDone{persist->token}, now_));
      }
    }
  }

  Time now_ = Time(seconds(100));
  Journal journal_;
  ControlReplica control_;
  std::vector<CommandCompleted> answers_;
  std::optional<Snapshot> snapshot_;
};

RecoveredState Blank() {
  RecoveredState blank;
  blank.incarnation = 1;
  return blank;
}

BOOST_AUTO_TEST_CASE(EachCommandGetsItsOwnReply) {
  Host host(Blank());
  BOOST_REQUIRE(host.MayRead());
  host.Propose(7, "a");
  host.Propose(8, "b");
  BOOST_REQUIRE_EQUAL(host.answers().size(), 2U);
  BOOST_TEST(host.answers()[0].proposal == 7U);
  BOOST_TEST(host.answers()[0].reply == "1");
  BOOST_TEST(host.answers()[1].proposal == 8U);
  BOOST_TEST(host.answers()[1].reply == "2");
}

BOOST_AUTO_TEST_CASE(ASnapshotRestoresTheStateMachine) {
  Host host(Blank());
  for (ProposalId i = 1; i <= 30; ++i) host.Propose(i, "x");
  BOOST_REQUIRE(host.snapshot().has_value());
  RecoveredState recovered = Blank();
  recovered.hard_state.group = 9;
  recovered.hard_state.term = 2;
  recovered.snapshot = host.snapshot();
  const Host again(recovered);
  BOOST_TEST(again.MayRead());
  BOOST_TEST(again.journal().text() == host.snapshot()->bytes);
  BOOST_TEST(again.journal().text().size() >= 20U);
}

}  // namespace
}  // namespace coltsfootfork
