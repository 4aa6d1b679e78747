#include "coltsfootfork/core/gateway/prompt_quarantine.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr PartKey kPoisonPart = 666;
constexpr milliseconds kStep{50};
// How long a response must be written for its parts to have survived.
constexpr Duration kBeginning = seconds(1);
constexpr Duration kContactTime = seconds(3);
constexpr int kCrashesToLearn = 5;
constexpr int kMaxSendsAfterwards = 3;
const Time kStart = Time(std::chrono::hours(1));

// Entries that send calls to engines. A call has the part of its workspace, a
// part that some calls of the workspace share, and maybe the poison part.
class Fleet {
 public:
  Fleet(std::size_t entries, std::size_t engines, std::uint64_t seed)
      : entries_(entries),
        engines_(engines),
        random_(seed),
        one_topic_(seed % 2 == 0) {}

  // Calls a second of the whole fleet, the share of poison calls, and crashes a
  // second of any engine for another reason.
  struct Load {
    double calls_per_second = 0;
    double poison_share = 0;
    double other_crashes_per_second = 0;
  };

  void Run(Duration duration, const Load& load) {
    const double step = std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> calls(load.calls_per_second * step);
    std::poisson_distribution<int> crashes(
        load.other_crashes_per_second * step + 1e-9);
    std::bernoulli_distribution poison(load.poison_share);
    for (const Time end = now_ + duration; now_ < end; now_ += kStep) {
      if (step_++ % 4 == 0) Share();
      for (int i = calls(random_); i > 0; --i) Send(poison(random_));
      for (int i = crashes(random_); i > 0; --i) Crash(Draw(engines_.size()));
      RecordSurvivals();
    }
  }

  int poison_sends_after_learning() const { return sends_after_learning_; }
  int poison_crashes() const { return poison_crashes_; }
  int sound_refusals() const { return sound_refusals_; }
  int sound_calls() const { return sound_calls_; }

 private:
  struct Call {
    std::size_t entry;
    std::vector<PartKey> parts;
    Time began_at;
  };
  struct Engine {
    std::uint64_t incarnation = 1;
    Time back_at;
    std::deque<Call> beginning;
  };

  std::size_t Draw(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }

  void Send(bool is_poison) {
    constexpr std::size_t kWorkspaces = 10;
    constexpr std::size_t kTopics = 30;
    // Half of the fleets have poison calls of one topic only.
    const bool is_one_topic = is_poison && one_topic_;
    const std::size_t workspace = is_one_topic ? 0 : Draw(kWorkspaces);
    const std::size_t topic = is_one_topic ? 0 : Draw(kTopics);
    Call call{Draw(entries_.size()),
              {1000 + workspace, 2000 + workspace * kTopics + topic},
              now_};
    if (is_poison) call.parts.insert(call.parts.begin() + 1, kPoisonPart);
    const bool refused =
        entries_[call.entry].FindQuarantined(call.parts, now_).has_value();
    if (!is_poison) {
      ++sound_calls_;
      sound_refusals_ += refused ? 1 : 0;
    }
    if (refused) return;
    std::size_t engine = Draw(engines_.size());
    while (now_ < engines_[engine].back_at) engine = Draw(engines_.size());
    engines_[engine].beginning.push_back(std::move(call));
    if (!is_poison) return;
    if (poison_crashes_ >= kCrashesToLearn &&
        now_ > fifth_crash_at_ + kContactTime) {
      ++sends_after_learning_;
    }
    if (++poison_crashes_ == kCrashesToLearn) fifth_crash_at_ = now_;
    Crash(engine);
  }

  void Crash(std::size_t index) {
    Engine& engine = engines_[index];
    const CrashKey key =
        CrashKeyOf(ServerId("i" + std::to_string(index)), engine.incarnation++);
    for (const Call& call : engine.beginning) {
      entries_[call.entry].OnCrash(call.parts, key, now_);
    }
    engine.beginning.clear();
    engine.back_at = now_ + seconds(3);
  }

  void RecordSurvivals() {
    for (Engine& engine : engines_) {
      while (!engine.beginning.empty() &&
             now_ >= engine.beginning.front().began_at + kBeginning) {
        const Call& call = engine.beginning.front();
        entries_[call.entry].OnSurvival(call.parts, now_);
        engine.beginning.pop_front();
      }
    }
  }

  // One round of reports to control and of its updates.
  void Share() {
    for (PromptQuarantine& entry : entries_) {
      entry.Merge(control_.Encode(0, now_), now_);
    }
    for (const PromptQuarantine& entry : entries_) {
      control_.Merge(entry.ledger().Encode(0, now_), now_);
    }
  }

  std::vector<PromptQuarantine> entries_;
  std::vector<Engine> engines_;
  CrashLedger control_;
  std::mt19937_64 random_;
  bool one_topic_;
  Time now_ = kStart;
  int step_ = 0;
  int poison_crashes_ = 0;
  Time fifth_crash_at_;
  int sends_after_learning_ = 0;
  int sound_refusals_ = 0;
  int sound_calls_ = 0;
};

BOOST_AUTO_TEST_CASE(EntriesLearnTogetherAndServeSoundCalls) {
  struct Size {
    std::size_t entries;
    std::size_t engines;
    double calls_per_second;
  };
  for (const Size& size :
       {Size{8, 18, 7}, Size{8, 9, 4}, Size{105, 144, 110}}) {
    for (const double share : {0.02, 0.05, 0.15}) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(size.entries, size.engines, seed);
        fleet.Run(seconds(10), {size.calls_per_second, 0, 0});
        fleet.Run(seconds(30), {size.calls_per_second, share, 0.1});
        BOOST_TEST_CONTEXT(size.entries << " entries, share " << share
                                        << ", seed " << seed) {
          BOOST_TEST(fleet.poison_sends_after_learning() <=
                     kMaxSendsAfterwards);
          BOOST_TEST(fleet.sound_refusals() == 0);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(CrashesForOtherReasonsBlameNoPart) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(8, 18, seed);
    fleet.Run(seconds(60), {15, 0, 1});
    BOOST_TEST(fleet.sound_refusals() == 0, "seed " << seed);
    BOOST_TEST(fleet.sound_calls() > 0);
  }
}

void CrashTimes(PromptQuarantine& quarantine, CrashKey first, int count,
                Time now) {
  for (int i = 0; i < count; ++i) {
    quarantine.OnCrash({kPoisonPart}, first + static_cast<CrashKey>(i), now);
  }
}

BOOST_AUTO_TEST_CASE(QuarantineEndsAndOneMoreCrashRenewsIt) {
  PromptQuarantine quarantine;
  CrashTimes(quarantine, 1, 3, kStart);
  const Time soon = kStart + seconds(2);
  const auto verdict = quarantine.FindQuarantined({1, kPoisonPart}, soon);
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST(verdict->parts == std::vector<std::size_t>{1});
  BOOST_TEST(verdict->crashes == 3U);
  const Time over = kStart + minutes(5);
  BOOST_TEST(!quarantine.FindQuarantined({kPoisonPart}, over).has_value());
  CrashTimes(quarantine, 10, 1, over);
  BOOST_TEST(quarantine.FindQuarantined({kPoisonPart}, over).has_value());
  BOOST_TEST(quarantine.Size(over) == 1U);
  quarantine.OnCrash({5}, 50, over + minutes(11));
  BOOST_TEST(quarantine.ledger().parts().size() == 1U);
}

BOOST_AUTO_TEST_CASE(PartThatBecomesPoisonIsLearnedFromMoreCrashes) {
  PromptQuarantine quarantine;
  quarantine.OnSurvival({kPoisonPart}, kStart);
  CrashTimes(quarantine, 1, 5, kStart + seconds(1));
  const Time soon = kStart + seconds(3);
  BOOST_TEST(!quarantine.FindQuarantined({kPoisonPart}, soon).has_value());
  CrashTimes(quarantine, 10, 1, kStart + seconds(2));
  BOOST_TEST(quarantine.FindQuarantined({kPoisonPart}, soon).has_value());
  // A response on the part shows that it is sound.
  quarantine.OnSurvival({kPoisonPart}, soon);
  BOOST_TEST(!quarantine.FindQuarantined({kPoisonPart}, soon).has_value());
}

BOOST_AUTO_TEST_CASE(PartsOfTheSameCrashesAreRefusedOnlyTogether) {
  PromptQuarantine quarantine;
  const PartKey neighbor = 7;
  for (CrashKey crash = 1; crash <= 3; ++crash) {
    quarantine.OnCrash({neighbor, kPoisonPart}, crash, kStart);
  }
  const auto refused = [&](const std::vector<PartKey>& parts) {
    return quarantine.FindQuarantined(parts, kStart).has_value();
  };
  BOOST_TEST(refused({neighbor, kPoisonPart}));
  BOOST_TEST(!refused({neighbor}));
  BOOST_TEST(!refused({kPoisonPart}));
  // A crash without the neighbor shows that it is sound.
  quarantine.OnCrash({kPoisonPart}, 4, kStart);
  BOOST_TEST(refused({kPoisonPart}));
  BOOST_TEST(!refused({neighbor}));
  // An engine that crashed for another reason makes them equal again; neither
  // is refused until one more crash decides.
  quarantine.OnCrash({neighbor}, 5, kStart);
  BOOST_TEST(!refused({neighbor}));
  quarantine.OnCrash({kPoisonPart}, 6, kStart);
  BOOST_TEST(refused({kPoisonPart}));
  BOOST_TEST(!refused({neighbor}));
}

BOOST_AUTO_TEST_CASE(OnlyCrashesWithoutASurvivalMakeAPartSuspect) {
  PromptQuarantine quarantine;
  CrashTimes(quarantine, 1, 1, kStart);
  BOOST_TEST(!quarantine.IsSuspect({kPoisonPart}, kStart));
  CrashTimes(quarantine, 2, 1, kStart);
  BOOST_TEST(quarantine.IsSuspect({1, kPoisonPart}, kStart));
  BOOST_TEST(!quarantine.IsSuspect({kPoisonPart}, kStart + minutes(5)));
  quarantine.OnSurvival({kPoisonPart}, kStart);
  BOOST_TEST(!quarantine.IsSuspect({kPoisonPart}, kStart));
}

BOOST_AUTO_TEST_CASE(SurvivalSeenElsewhereClearsAPart) {
  PromptQuarantine crashed;
  PromptQuarantine served;
  served.OnSurvival({kPoisonPart}, kStart);
  CrashTimes(crashed, 1, 3, kStart + seconds(1));
  const Time soon = kStart + seconds(2);
  served.Merge(crashed.ledger().Encode(0, soon), soon);
  crashed.Merge(served.ledger().Encode(0, soon), soon);
  const Time later = kStart + seconds(10);
  BOOST_TEST(!crashed.FindQuarantined({kPoisonPart}, later).has_value());
}

}  // namespace
}  // namespace coltsfootfork
