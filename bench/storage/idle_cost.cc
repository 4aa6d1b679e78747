#include "idle_cost.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/replication/replica.h"
#include "coltsfootfork/core/replication/replica_codec.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kWarmUp = seconds(20);
constexpr Duration kMeasured = seconds(60);

// Replicas whose messages and syncs take no time.
class QuietGroup {
 public:
  explicit QuietGroup(std::size_t voters) {
    ReplicaOptions options;
    for (std::size_t i = 0; i < voters; ++i) {
      options.seeds.emplace_back("entry-catania-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < voters; ++i) {
      options.self = options.seeds[i];
      options.zone = ZoneId("catania");
      RecoveredState blank;
      // As large as a random one, so that it takes as many bytes.
      blank.incarnation = ~Incarnation{0} - i;
      replicas_.emplace_back(options, blank, i + 1, now_);
    }
  }

  void RunFor(Duration duration) {
    const Time end = now_ + duration;
    for (; now_ < end; now_ += kTick) {
      for (std::size_t i = 0; i < replicas_.size(); ++i) {
        Carry(i, replicas_[i].Tick(now_));
      }
      Deliver();
    }
  }
  void ResetCounters() { counters_ = {}; }
  IdleCost LeaderCost(Duration measured) const {
    const double in_seconds = std::chrono::duration<double>(measured).count();
    return {static_cast<double>(counters_.messages) / in_seconds,
            static_cast<double>(counters_.bytes) / in_seconds};
  }

 private:
  struct Letter {
    std::size_t to = 0;
    ReplicaMessageReceived received;
  };
  struct Counters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  void Carry(std::size_t from, const std::vector<ReplicaEffect>& effects) {
    for (const ReplicaEffect& effect : effects) {
      if (const auto* persist = std::get_if<Persist>(&effect)) {
        Carry(from, replicas_[from].Handle(PersistDone{persist->token}, now_));
      } else if (const auto* send = std::get_if<SendReplicaMessage>(&effect)) {
        Post(from, *send);
      }
    }
  }

  void Post(std::size_t from, const SendReplicaMessage& send) {
    for (std::size_t to = 0; to < replicas_.size(); ++to) {
      if (replicas_[to].self().process != send.to) continue;
      const bool of_leader =
          replicas_[from].HoldsLease(now_) || replicas_[to].HoldsLease(now_);
      if (of_leader) {
        ++counters_.messages;
        counters_.bytes += EncodeReplicaMessage(send.message).size();
      }
      post_.push_back({to, {replicas_[from].self().process, send.message}});
    }
  }

  void Deliver() {
    while (!post_.empty()) {
      const Letter letter = std::move(post_.front());
      post_.pop_front();
      Carry(letter.to, replicas_[letter.to].Handle(letter.received, now_));
    }
  }

  Time now_ = Time(std::chrono::hours(1));
  std::vector<Replica> replicas_;
  std::deque<Letter> post_;
  Counters counters_;
};

}  // namespace

IdleCost MeasureIdleCost(std::size_t voters) {
  QuietGroup group(voters);
  group.RunFor(kWarmUp);
  group.ResetCounters();
  group.RunFor(kMeasured);
  return group.LeaderCost(kMeasured);
}

}  // namespace coltsfootfork
