#include "coltsfootfork/core/gateway/server_rate_limiter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr Duration kWindow = seconds(4);
// After this time a server may rely on its limit.
constexpr Duration kContactTime = seconds(3);

// Entries that send to one server whenever they may; the server names a limit
// in each response.
class Fleet {
 public:
  explicit Fleet(std::uint32_t entries) : limiters_(entries) {}

  void SetLimit(std::optional<double> per_second) { limit_ = per_second; }
  // Entry `index` restarts and knows nothing.
  void Restart(std::uint32_t index) { limiters_[index] = ServerRateLimiter(); }

  // Lets every entry with a call send it, with probability `demand` in each
  // step. Returns the most arrivals in any window from `kContactTime` on.
  std::size_t Run(Duration duration, double demand) {
    const auto entries = static_cast<std::uint32_t>(limiters_.size());
    std::bernoulli_distribution has_call(demand);
    std::uniform_real_distribution<double> phase(0, 1);
    const Time end = now_ + duration;
    const Time reliable = now_ + kContactTime;
    std::deque<Time> arrivals;
    std::size_t most = 0;
    for (; now_ < end; now_ += kStep) {
      for (std::uint32_t i = 0; i < entries; ++i) {
        if (!has_call(random_) || !limiters_[i].Allows(now_)) continue;
        limiters_[i].OnSend(entries, now_);
        limiters_[i].OnResponse(limit_, now_, phase(random_), entries,
                                now_ + milliseconds(1));
        arrivals.push_back(now_);
      }
      while (!arrivals.empty() && arrivals.front() + kWindow <= now_) {
        arrivals.pop_front();
      }
      if (now_ >= reliable + kWindow) most = std::max(most, arrivals.size());
    }
    return most;
  }

 private:
  std::vector<ServerRateLimiter> limiters_;
  std::optional<double> limit_;
  std::mt19937_64 random_{7};
  Time now_{seconds(100)};
};

// The bound of the platform's rule.
std::size_t AllowedIn4s(double per_second) {
  return static_cast<std::size_t>(1.5 * 4 * per_second + 5);
}

BOOST_AUTO_TEST_CASE(EntriesTogetherKeepToTheLimitAtAllSizesOfFleets) {
  for (const std::uint32_t entries : {1U, 8U, 30U, 105U}) {
    for (const double limit : {1.0, 3.6, 12.0}) {
      for (const double demand : {0.01, 0.2, 1.0}) {
        Fleet fleet(entries);
        fleet.SetLimit(limit);
        BOOST_TEST_CONTEXT(entries << " entries, limit " << limit << ", demand "
                                   << demand) {
          BOOST_TEST(fleet.Run(seconds(60), demand) <= AllowedIn4s(limit));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitThatChangesIsFollowed) {
  Fleet fleet(8);
  fleet.SetLimit(12);
  fleet.Run(seconds(20), 0.2);
  fleet.SetLimit(2);
  BOOST_TEST(fleet.Run(seconds(30), 0.2) <= AllowedIn4s(2));
  fleet.SetLimit(std::nullopt);
  BOOST_TEST(fleet.Run(seconds(30), 0.2) > AllowedIn4s(12));
}

BOOST_AUTO_TEST_CASE(RestartedEntryLearnsTheLimitFromItsFirstCall) {
  Fleet fleet(8);
  fleet.SetLimit(3);
  fleet.Run(seconds(20), 0.2);
  fleet.Restart(2);
  fleet.Restart(5);
  // The first calls of the two, and their calls after the phase.
  BOOST_TEST(fleet.Run(seconds(30), 0.2) <= AllowedIn4s(3));
}

BOOST_AUTO_TEST_CASE(ResponseToAnEarlierRequestDoesNotEndTheLimit) {
  ServerRateLimiter limiter;
  const Time now{seconds(100)};
  BOOST_TEST(limiter.OnResponse(4.0, now, 0.5, 1, now + milliseconds(10)));
  BOOST_TEST(!limiter.OnResponse(std::nullopt, now - milliseconds(5), 0.5, 1,
                                 now + milliseconds(20)));
  BOOST_TEST(limiter.per_second().has_value());
  BOOST_TEST(limiter.OnResponse(std::nullopt, now + milliseconds(30), 0.5, 1,
                                now + milliseconds(40)));
  BOOST_TEST(limiter.Allows(now + milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(ResumedStreamsDelayLaterRequests) {
  ServerRateLimiter limiter;
  const Time now{seconds(100)};
  limiter.OnResponse(1.0, now, 0, 1, now);
  for (int i = 0; i < 3; ++i) limiter.OnSend(1, now);
  // At one request a second, three of them take at least three seconds.
  BOOST_TEST(!limiter.Allows(now + milliseconds(2990)));
  BOOST_TEST(limiter.Allows(now + seconds(4)));
}

BOOST_AUTO_TEST_CASE(LimitOfZeroStillAdmitsARequestNowAndThen) {
  ServerRateLimiter limiter;
  const Time now{seconds(100)};
  limiter.OnResponse(0.0, now, 1, 1, now);
  BOOST_TEST(!limiter.Allows(now + seconds(4)));
  BOOST_TEST(limiter.Allows(now + seconds(6)));
}

}  // namespace
}  // namespace coltsfootfork
