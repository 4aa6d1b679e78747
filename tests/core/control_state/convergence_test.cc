// Simulates how a configuration spreads from the leader to several processes
// while messages are lost, delayed, duplicated and reordered, processes restart
// and are disconnected from the control processes, and a replica with outdated
// state replies as well.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "coltsfootfork/core/configuration/configuration_synchronizer.h"
#include "coltsfootfork/core/control_state/control_service.h"
#include "core/control_state/control_fixture.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kProcesses = 4;
constexpr milliseconds kStepDuration{100};
// A change must be in force in every process within this time.
constexpr seconds kConvergenceTimeout{9};

struct Process {
  ConfigurationSynchronizer synchronizer{{}, 0};
  bool has_data_folder = false;
  bool disconnected = false;
  // The highest revision at which the process accepted new work, across
  // restarts.
  Revision highest_served = 0;
};

struct Delivery {
  Time deliver_at{};
  std::size_t to = 0;
  FetchStateReply reply;
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(unsigned seed)
      : random_(seed), processes_(kProcesses) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      processes_[i].has_data_folder = i % 2 == 0;
    }
    CommitChange();
    outdated_snapshot_ = state_.Snapshot();
  }

  void RunStep() {
    now_ += kStepDuration;
    if (random_() % 8 == 0) CommitChange();
    if (random_() % 40 == 0) Restart(random_() % kProcesses);
    Process& toggled = processes_[random_() % kProcesses];
    if (random_() % 20 == 0) toggled.disconnected = !toggled.disconnected;
    for (std::size_t i = 0; i < kProcesses; ++i) FetchUpdates(i);
    Deliver();
    CheckInvariants();
  }

  void ReconnectAndCheckConvergence() {
    for (Process& process : processes_) process.disconnected = false;
    for (const Time end = now_ + kConvergenceTimeout; now_ < end;) {
      now_ += kStepDuration;
      for (std::size_t p = 0; p < kProcesses; ++p) FetchUpdates(p);
      Deliver();
      CheckInvariants();
    }
    for (const Process& process : processes_) {
      BOOST_TEST(process.synchronizer.in_force() == state_.revision());
      BOOST_TEST(!process.synchronizer.RefusalReason(now_).has_value());
    }
  }

 private:
  void CommitChange() {
    const Revision revision = state_.revision();
    Put(state_, revision, "change-" + std::to_string(revision));
    documents_[state_.revision()] = state_.document();
  }

  // A restart closes the connections of the process, so replies in flight are
  // lost.
  void Restart(std::size_t index) {
    Process& process = processes_[index];
    const Revision stored_revision =
        process.has_data_folder ? process.synchronizer.highest_seen() : 0;
    process.synchronizer = ConfigurationSynchronizer({}, stored_revision);
    const auto to_process = [index](const Delivery& d) {
      return d.to == index;
    };
    network_.erase(std::remove_if(network_.begin(), network_.end(), to_process),
                   network_.end());
  }

  // Fetches from a peer, and from a control replica if connected. Every message
  // between processes carries the sender's highest revision.
  void FetchUpdates(std::size_t index) {
    Process& process = processes_[index];
    const std::size_t peer = random_() % kProcesses;
    process.synchronizer.OnRevisionSeen(
        processes_[peer].synchronizer.highest_seen(), now_);
    const auto fetch = process.synchronizer.Tick(now_);
    if (!fetch.has_value()) return;
    Send(index, processes_[peer].synchronizer.ReplyToPeer(*fetch));
    if (process.disconnected) return;
    const bool use_outdated_replica = random_() % 4 == 0;
    Send(index, use_outdated_replica ? FetchFromOutdatedReplica(*fetch)
                                     : FetchFromLeader(*fetch));
  }

  FetchStateReply FetchFromLeader(const FetchState& fetch) {
    FetchStateReply reply = state_.Fetch(fetch);
    reply.current = true;
    return reply;
  }

  FetchStateReply FetchFromOutdatedReplica(const FetchState& fetch) {
    ControlState outdated;
    outdated.Restore(outdated_snapshot_);
    return outdated.Fetch(fetch);
  }

  void Send(std::size_t to, const FetchStateReply& reply) {
    if (random_() % 5 == 0) return;
    const unsigned copies = random_() % 6 == 0 ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
      const Time deliver_at =
          now_ + kStepDuration * static_cast<int>(random_() % 4);
      network_.push_back({deliver_at, to, reply});
      if (random_() % 50 == 0) network_.back().reply.digest[0] ^= 1;
    }
  }

  void Deliver() {
    std::deque<Delivery> later;
    for (const Delivery& delivery : network_) {
      if (delivery.deliver_at > now_) {
        later.push_back(delivery);
      } else {
        OnReplyTo(processes_[delivery.to], delivery.reply);
      }
    }
    network_ = std::move(later);
  }

  void OnReplyTo(Process& process, const FetchStateReply& reply) {
    const Revision before = process.synchronizer.in_force();
    process.synchronizer.OnReply(reply, now_);
    BOOST_TEST_REQUIRE(process.synchronizer.in_force() >= before);
  }

  void CheckInvariants() {
    for (Process& process : processes_) {
      const Revision revision = process.synchronizer.in_force();
      if (revision > 0) {
        BOOST_TEST_REQUIRE(
            (process.synchronizer.document() == documents_.at(revision)));
      }
      if (process.synchronizer.RefusalReason(now_).has_value()) continue;
      BOOST_TEST_REQUIRE(revision >= process.highest_served);
      process.highest_served = revision;
    }
  }

  std::mt19937 random_;
  Time now_{seconds(1000)};
  ControlState state_;
  std::string outdated_snapshot_;
  std::map<Revision, std::string> documents_;
  std::vector<Process> processes_;
  std::deque<Delivery> network_;
};

BOOST_AUTO_TEST_CASE(NoProcessRevertsARevisionAndAllConvergeOnceReconnected) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      SimulatedFleet fleet(seed);
      for (int step = 0; step < 120; ++step) fleet.RunStep();
      fleet.ReconnectAndCheckConvergence();
    }
  }
}

}  // namespace
}  // namespace coltsfootfork
