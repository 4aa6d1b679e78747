#include "coltsfootfork/core/fleet/crash_ledger.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace coltsfootfork {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(1));

std::size_t CrashesOf(const CrashLedger& ledger, PartKey part) {
  const auto* history = ledger.Find(part);
  return history == nullptr ? 0 : history->crashes.size();
}

BOOST_AUTO_TEST_CASE(KeysDifferByServiceAndIncarnation) {
  BOOST_TEST(PartKeyOf(ServiceId("a"), "p") != PartKeyOf(ServiceId("b"), "p"));
  BOOST_TEST(CrashKeyOf(ServerId("i"), 1) != CrashKeyOf(ServerId("i"), 2));
}

BOOST_AUTO_TEST_CASE(CrashOfAnIncarnationCountsOnce) {
  CrashLedger ledger;
  ledger.AddCrash(1, 10, kNow, kNow);
  ledger.AddCrash(1, 10, kNow + seconds(1), kNow + seconds(1));
  ledger.AddCrash(1, 11, kNow, kNow);
  BOOST_TEST(CrashesOf(ledger, 1) == 2U);
}

BOOST_AUTO_TEST_CASE(SurvivalClearsEarlierCrashes) {
  CrashLedger ledger;
  ledger.AddCrash(1, 10, kNow, kNow);
  ledger.AddCrash(1, 11, kNow + seconds(2), kNow + seconds(2));
  ledger.AddSurvival(1, kNow + seconds(1));
  BOOST_TEST(CrashesOf(ledger, 1) == 1U);
  // A late report of a crash before the survival.
  ledger.AddCrash(1, 12, kNow, kNow + seconds(3));
  BOOST_TEST(CrashesOf(ledger, 1) == 1U);
  ledger.AddSurvival(2, kNow);
  BOOST_CHECK(ledger.Find(2) == nullptr);
}

BOOST_AUTO_TEST_CASE(MergedLedgersHaveTheSameCrashes) {
  CrashLedger a;
  CrashLedger b;
  a.AddCrash(1, 10, kNow, kNow);
  b.AddCrash(1, 11, kNow, kNow);
  b.AddCrash(2, 11, kNow, kNow);
  b.AddSurvival(2, kNow + seconds(1));
  const Time later = kNow + seconds(5);
  a.Merge(b.Encode(0, later), later);
  b.Merge(a.Encode(0, later), later);
  BOOST_TEST(CrashesOf(a, 1) == 2U);
  BOOST_TEST(CrashesOf(b, 1) == 2U);
  const std::uint64_t revision = a.revision();
  a.Merge(b.Encode(0, later), later);
  BOOST_TEST(a.revision() == revision);
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreEncoded) {
  CrashLedger ledger;
  ledger.AddCrash(1, 10, kNow, kNow);
  const std::uint64_t revision = ledger.revision();
  BOOST_TEST(ledger.Encode(revision, kNow).empty());
  ledger.AddCrash(2, 10, kNow, kNow);
  BOOST_TEST(ledger.Encode(revision, kNow).size() == 3U);
  ledger.AddSurvival(1, kNow + seconds(1));
  BOOST_TEST(ledger.Encode(revision, kNow).size() == 6U);
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreIgnored) {
  CrashLedger ledger;
  ledger.Merge({1, 2}, kNow);
  ledger.Merge({1, 2, ~std::uint64_t{0}}, kNow);
  BOOST_TEST(ledger.parts().empty());
}

BOOST_AUTO_TEST_CASE(PartsAreForgottenAfterTheirLastCrash) {
  CrashLedger ledger;
  ledger.AddCrash(1, 10, kNow, kNow);
  ledger.AddCrash(1, 11, kNow + minutes(5), kNow + minutes(5));
  ledger.Expire(kNow + minutes(14));
  BOOST_TEST(CrashesOf(ledger, 1) == 2U);
  ledger.Expire(kNow + minutes(16));
  BOOST_TEST(ledger.parts().empty());
}

BOOST_AUTO_TEST_CASE(SizeIsBoundedAndSuspectsStay) {
  CrashLedger ledger;
  for (CrashKey crash = 1; crash <= 3; ++crash) {
    ledger.AddCrash(7, crash, kNow, kNow);
  }
  for (PartKey part = 1000; part < 3000; ++part) {
    ledger.AddCrash(part, part, kNow + seconds(1), kNow + seconds(1));
  }
  BOOST_TEST(ledger.parts().size() <= 256U);
  BOOST_TEST(CrashesOf(ledger, 7) == 3U);
}

BOOST_AUTO_TEST_CASE(FirstAndNewestCrashesOfAPartAreKept) {
  CrashLedger ledger;
  for (CrashKey crash = 1; crash <= 50; ++crash) {
    const Time at = kNow + seconds(crash);
    ledger.AddCrash(1, crash, at, at);
  }
  BOOST_TEST(CrashesOf(ledger, 1) == 32U);
  BOOST_TEST(ledger.Find(1)->crashes.count(1) == 1U);
  BOOST_TEST(ledger.Find(1)->crashes.count(50) == 1U);
  const std::uint64_t revision = ledger.revision();
  ledger.AddCrash(1, 2, kNow + seconds(2), kNow + seconds(60));
  BOOST_TEST(ledger.revision() == revision);
}

}  // namespace
}  // namespace coltsfootfork
