#include "coltsfootfork/core/fleet/keyed_load.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "coltsfootfork/core/fleet/fleet_message.h"

namespace coltsfootfork {
namespace {

bool IsSame(const KeyedLoad& a, const KeyedLoad& b) {
  return ChangesOf(a, b).empty() && ChangesOf(b, a).empty();
}

KeyedLoad Loads(std::size_t count, std::uint32_t seed) {
  std::mt19937 random(seed);
  KeyedLoad load;
  for (std::size_t i = 0; i < count; ++i) {
    ServerLoad& one = load[KeyOf(ServerId("i-" + std::to_string(i)))];
    one.calls = static_cast<std::uint32_t>(random() % 24);
    one.tokens = random() % 30000;
    one.pending_prefill_tokens = random() % 8000;
  }
  return load;
}

BOOST_AUTO_TEST_CASE(ChangesLeadFromOneStateToTheNext) {
  KeyedLoad held = Loads(50, 1);
  KeyedLoad next = Loads(60, 2);
  next.erase(next.begin());
  ApplyChanges(held, ChangesOf(held, next));
  BOOST_TEST(IsSame(held, next));
  BOOST_TEST(ChangesOf(next, held).empty());
}

BOOST_AUTO_TEST_CASE(NumbersComeBackAsTheyWere) {
  const KeyedLoad load = Loads(20, 3);
  const auto read = DecodeLoad(EncodeLoad(load));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(IsSame(*read, load));
  EncodedLoad cut = EncodeLoad(load);
  cut.pop_back();
  BOOST_TEST(!DecodeLoad(cut).has_value());
  BOOST_TEST(!DecodeLoad({std::uint64_t{1} << 40U, 1, 1, 1}).has_value());
}

// Hundreds of entries hear of thousands of servers a few times a second.
BOOST_AUTO_TEST_CASE(WhatAllEntriesHearIsShort) {
  constexpr std::size_t kServers = 3000;
  constexpr std::size_t kBytesOfOne = 16;
  UsageReport use;
  KeyedLoad load = Loads(kServers, 4);
  use.load = EncodeLoad(load);
  BOOST_TEST(EncodeFleetMessage(use).size() < kBytesOfOne * kServers);
  // Of a hundred servers that have changed, a hundred are told.
  KeyedLoad next = load;
  std::size_t changed = 0;
  for (auto& [key, one] : next) {
    if (changed++ == 100) break;
    one.tokens += 1;
  }
  use.load = EncodeLoad(ChangesOf(load, next));
  BOOST_TEST(EncodeFleetMessage(use).size() < kBytesOfOne * 110);
}

}  // namespace
}  // namespace coltsfootfork
