// Configuration on its way from the leader to many processes, while messages
// are lost, delayed, repeated and reordered, processes restart and are cut
// off from control, and a replica with old state answers too.

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
constexpr milliseconds kStep{100};
// Within this a change is to be in force everywhere.
constexpr seconds kInForceBound{9};

struct Process {
  ConfigurationSynchronizer follower{{}, 0};
  bool has_disk = false;
  bool cut_off = false;
  // The highest revision with which it took new work, over all its lives.
  Revision served = 0;
};

struct Delivery {
  Time due{};
  std::size_t to = 0;
  FetchStateReply reply;
};

class Fleet {
 public:
  explicit Fleet(unsigned seed) : random_(seed), processes_(kProcesses) {
    for (std::size_t i = 0; i < kProcesses; ++i) {
      processes_[i].has_disk = i % 2 == 0;
    }
    Change();
    old_state_ = state_.Snapshot();
  }

  void Step() {
    now_ += kStep;
    if (random_() % 8 == 0) Change();
    if (random_() % 40 == 0) Restart(random_() % kProcesses);
    Process& moved = processes_[random_() % kProcesses];
    if (random_() % 20 == 0) moved.cut_off = !moved.cut_off;
    for (std::size_t i = 0; i < kProcesses; ++i) Ask(i);
    Deliver();
    Check();
  }

  void Heal() {
    for (Process& process : processes_) process.cut_off = false;
    for (const Time end = now_ + kInForceBound; now_ < end;) {
      now_ += kStep;
      for (std::size_t p = 0; p < kProcesses; ++p) Ask(p);
      Deliver();
      Check();
    }
    for (const Process& process : processes_) {
      BOOST_TEST(process.follower.in_force() == state_.revision());
      BOOST_TEST(!process.follower.RefusalReason(now_).has_value());
    }
  }

 private:
  void Change() {
    const Revision revision = state_.revision();
    Put(state_, revision, "change-" + std::to_string(revision));
    documents_[state_.revision()] = state_.document();
  }

  // Replies on their way are lost with the connections of the process.
  void Restart(std::size_t index) {
    Process& process = processes_[index];
    const Revision kept =
        process.has_disk ? process.follower.highest_seen() : 0;
    process.follower = ConfigurationSynchronizer({}, kept);
    const auto to_process = [index](const Delivery& d) {
      return d.to == index;
    };
    network_.erase(std::remove_if(network_.begin(), network_.end(), to_process),
                   network_.end());
  }

  // Every message between processes carries the sender's highest revision.
  void Ask(std::size_t index) {
    Process& process = processes_[index];
    const std::size_t peer = random_() % kProcesses;
    process.follower.OnRevisionSeen(processes_[peer].follower.highest_seen(),
                                    now_);
    const auto fetch = process.follower.Tick(now_);
    if (!fetch.has_value()) return;
    Send(index, processes_[peer].follower.ReplyToPeer(*fetch));
    if (process.cut_off) return;
    const bool ask_old_replica = random_() % 4 == 0;
    Send(index, ask_old_replica ? AskOldReplica(*fetch) : AskLeader(*fetch));
  }

  FetchStateReply AskLeader(const FetchState& fetch) {
    FetchStateReply reply = state_.Fetch(fetch);
    reply.current = true;
    return reply;
  }

  FetchStateReply AskOldReplica(const FetchState& fetch) {
    ControlState old;
    old.Restore(old_state_);
    return old.Fetch(fetch);
  }

  void Send(std::size_t to, const FetchStateReply& reply) {
    if (random_() % 5 == 0) return;
    const unsigned copies = random_() % 6 == 0 ? 2 : 1;
    for (unsigned i = 0; i < copies; ++i) {
      const Time due = now_ + kStep * static_cast<int>(random_() % 4);
      network_.push_back({due, to, reply});
      if (random_() % 50 == 0) network_.back().reply.digest[0] ^= 1;
    }
  }

  void Deliver() {
    std::deque<Delivery> later;
    for (const Delivery& delivery : network_) {
      if (delivery.due > now_) {
        later.push_back(delivery);
      } else {
        TakeReply(processes_[delivery.to], delivery.reply);
      }
    }
    network_ = std::move(later);
  }

  void TakeReply(Process& process, const FetchStateReply& reply) {
    const Revision before = process.follower.in_force();
    process.follower.OnReply(reply, now_);
    BOOST_TEST_REQUIRE(process.follower.in_force() >= before);
  }

  void Check() {
    for (Process& process : processes_) {
      const Revision revision = process.follower.in_force();
      if (revision > 0) {
        BOOST_TEST_REQUIRE(
            (process.follower.document() == documents_.at(revision)));
      }
      if (process.follower.RefusalReason(now_).has_value()) continue;
      BOOST_TEST_REQUIRE(revision >= process.served);
      process.served = revision;
    }
  }

  std::mt19937 random_;
  Time now_{seconds(1000)};
  ControlState state_;
  std::string old_state_;
  std::map<Revision, std::string> documents_;
  std::vector<Process> processes_;
  std::deque<Delivery> network_;
};

BOOST_AUTO_TEST_CASE(NoProcessGoesBackAndAllArriveOnceHealed) {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Fleet fleet(seed);
      for (int step = 0; step < 120; ++step) fleet.Step();
      fleet.Heal();
    }
  }
}

}  // namespace
}  // namespace coltsfootfork
