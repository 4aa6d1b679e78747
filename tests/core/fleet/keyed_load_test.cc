#include "coltsfootfork/core/fleet/keyed_load.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {
namespace {

bool IsSame(const KeyedLoad& a, const KeyedLoad& b) {
  return ChangesOf(a, b).empty() && ChangesOf(b, a).empty();
}

KeyedLoad RandomLoads(std::size_t count, std::uint32_t seed) {
  std::mt19937 random(seed);
  KeyedLoad load;
  for (std::size_t i = 0; i < count; ++i) {
    ServerLoad& server_load = load[KeyOf(ServerId("i-" + std::to_string(i)))];
    server_load.calls = static_cast<std::uint32_t>(random() % 24);
    server_load.tokens = random() % 30000;
    server_load.pending_prefill_tokens = random() % 8000;
  }
  return load;
}

BOOST_AUTO_TEST_CASE(ChangesTransformOneStateIntoTheNext) {
  KeyedLoad current = RandomLoads(50, 1);
  KeyedLoad next = RandomLoads(60, 2);
  next.erase(next.begin());
  ApplyChanges(current, ChangesOf(current, next));
  BOOST_TEST(IsSame(current, next));
  BOOST_TEST(ChangesOf(next, current).empty());
}

BOOST_AUTO_TEST_CASE(EncodedLoadRoundTrip) {
  const KeyedLoad load = RandomLoads(20, 3);
  const auto decoded = DecodeLoad(EncodeLoad(load));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(IsSame(*decoded, load));
  EncodedLoad truncated = EncodeLoad(load);
  truncated.pop_back();
  BOOST_TEST(!DecodeLoad(truncated).has_value());
  BOOST_TEST(!DecodeLoad({std::uint64_t{1} << 40U, 1, 1, 1}).has_value());
}

// Hundreds of entries receive the loads of thousands of servers a few times a
// second.
BOOST_AUTO_TEST_CASE(EncodedUsageIsCompact) {
  constexpr std::size_t kServers = 3000;
  constexpr std::size_t kMaxBytesPerServer = 16;
  UsageReport report;
  KeyedLoad load = RandomLoads(kServers, 4);
  report.load = EncodeLoad(load);
  BOOST_TEST(EncodeFleetMessage(report).size() < kMaxBytesPerServer * kServers);
  // Only the hundred changed servers are encoded.
  KeyedLoad next = load;
  std::size_t changed = 0;
  for (auto& [key, server_load] : next) {
    if (changed++ == 100) break;
    server_load.tokens += 1;
  }
  report.load = EncodeLoad(ChangesOf(load, next));
  BOOST_TEST(EncodeFleetMessage(report).size() < kMaxBytesPerServer * 110);
}

}  // namespace
}  // namespace coltsfootfork
