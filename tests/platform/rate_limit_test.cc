#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/gateway_fixture.h"
#include "platform/platform_engine.h"
#include "shell/clock/monotonic_now.h"

// A server names the requests per second that it accepts from all entries
// together.
namespace coltsfootfork {
namespace {

constexpr std::uint32_t kEntries = 4;
// The bound of the platform's rule for a limit of N: 1.5 N a second, and 5.
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedExtra = 5;

// Entries that share servers, each with callers that always have one call in
// flight.
class EntriesFixture {
 public:
  EntriesFixture() {
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      entries.push_back(
          std::make_unique<GatewayFixture>(GatewayOptions(), /*seed=*/i + 1));
      entries.back()->gateway.SetEntryCount(kEntries, MonotonicNow());
      entries.back()->SetPlan();
    }
    calls_.resize(kEntries);
  }

  boost::asio::io_context& io() { return entries.front()->io; }
  void Announce(const PlatformEngine& engine) {
    for (auto& entry : entries) {
      entry->Announce(engine.id(), engine.address(), "ledger");
    }
  }
  // Repeats calls at all entries until the condition holds.
  void CallUntil(const std::string& path,
                 const std::function<bool()>& condition) {
    while (!condition()) {
      for (std::uint32_t i = 0; i < kEntries; ++i) {
        if (!calls_[i] || calls_[i]->has_value()) {
          if (calls_[i] && (*calls_[i])->response) {
            last_response = *(*calls_[i])->response;
          }
          calls_[i] = entries[i]->Start(
              entries[i]->Request(path, "r" + std::to_string(++next_call_)));
        }
        entries[i]->io.poll();
      }
    }
    // A call in flight at the end of a test would never be destroyed.
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      while (calls_[i] && !calls_[i]->has_value()) {
        for (auto& entry : entries) entry->io.poll();
      }
    }
  }

  std::vector<std::unique_ptr<GatewayFixture>> entries;
  HttpResponse last_response;

 private:
  std::vector<std::shared_ptr<std::optional<HttpFetchResult>>> calls_;
  int next_call_ = 0;
};

// The arrivals that a limit allows in the time since `since`, in addition to
// one call of each entry that has not been told yet.
double Allowed(double per_second, Time since) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::duration<double>>(MonotonicNow() -
                                                                since);
  return kAllowedRatio * per_second * elapsed.count() + kAllowedExtra +
         kEntries;
}

BOOST_FIXTURE_TEST_CASE(EntriesTogetherSendNoMoreThanTheNamedLimit,
                        EntriesFixture) {
  PlatformEngine limited(io(), "i-1");
  PlatformEngine unlimited(io(), "i-2");
  limited.SetRateLimit("4");
  Announce(limited);
  Announce(unlimited);
  const Time start = MonotonicNow();
  CallUntil("/sale/1", [&] { return unlimited.arrivals() >= 400; });
  BOOST_TEST(limited.arrivals() <= Allowed(4, start));
}

BOOST_FIXTURE_TEST_CASE(RejectedAndRepeatedCallsCountAgainstTheLimit,
                        EntriesFixture) {
  PlatformEngine limited(io(), "i-1");
  PlatformEngine unlimited(io(), "i-2");
  limited.SetRateLimit("4");
  limited.SetRejectsCalls(true);
  Announce(limited);
  Announce(unlimited);
  const Time start = MonotonicNow();
  CallUntil("/stock/1", [&] { return unlimited.arrivals() >= 400; });
  BOOST_TEST(limited.arrivals() <= Allowed(4, start));
}

BOOST_FIXTURE_TEST_CASE(CallsThatNoLimitAllowsAreRefusedWithATimeToReturn,
                        EntriesFixture) {
  PlatformEngine limited(io(), "i-1");
  limited.SetRateLimit("0.5");
  Announce(limited);
  CallUntil("/sale/1", [&] { return last_response.status == 503; });
  BOOST_TEST(std::stod(FieldOf(last_response, "Retry-After")) > 0);
  BOOST_TEST(limited.arrivals() <= static_cast<int>(2 * kEntries));
}

BOOST_FIXTURE_TEST_CASE(LimitEndsWhenTheServerNoLongerNamesIt, EntriesFixture) {
  PlatformEngine limited(io(), "i-1");
  PlatformEngine unlimited(io(), "i-2");
  limited.SetRateLimit("8");
  Announce(limited);
  Announce(unlimited);
  CallUntil("/sale/1", [&] { return unlimited.arrivals() >= 100; });
  limited.SetRateLimit(std::nullopt);
  const int before = limited.arrivals();
  CallUntil("/sale/1", [&] { return limited.arrivals() >= before + 200; });
}

}  // namespace
}  // namespace coltsfootfork
