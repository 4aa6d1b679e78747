#include "coltsfootfork/core/control_state/limit_splitter.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>

#include "coltsfootfork/core/routing/limit_shares.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kLease{3000};
constexpr std::uint32_t kLimit = 100;

std::shared_ptr<Configuration> OneLimitedWorkspace() {
  auto configuration = std::make_shared<Configuration>();
  Workspace workspace;
  workspace.id = WorkspaceId("ws");
  workspace.limits.requests_per_second = kLimit;
  configuration->workspaces = {workspace};
  return configuration;
}

struct Fixture {
  // Renews the lease of an entry that demands `demanded` requests per second,
  // and returns the share that it is granted.
  std::uint32_t Renew(const std::string& entry, std::uint32_t demanded) {
    RenewLease renew;
    renew.process = ProcessId(entry);
    renew.roles = "entry";
    renew.demand = DemandsToReport({{WorkspaceId("ws"), {demanded, 0, 0}}},
                                   *configuration, place[entry]);
    RenewLeaseReply reply;
    splitter.OnRenewal(renew, &rules, now, reply);
    place[entry] = reply.place;
    return SharesOfEntry(reply, *configuration)
        .front()
        .share.requests_per_second;
  }

  std::shared_ptr<Configuration> configuration = OneLimitedWorkspace();
  ServingRules rules{configuration};
  LimitSplitter splitter{kLease};
  std::map<std::string, EntryPlace> place;
  Time now{};
};

BOOST_AUTO_TEST_CASE(SharesFollowDemandAndAddUpToTheLimit) {
  Fixture fixture;
  fixture.Renew("a", 90);
  fixture.Renew("b", 0);
  fixture.Renew("c", 0);
  // The share grows once the others have released theirs.
  fixture.Renew("a", 90);
  const std::uint32_t b = fixture.Renew("b", 0);
  const std::uint32_t c = fixture.Renew("c", 0);
  const std::uint32_t a = fixture.Renew("a", 90);
  BOOST_TEST(a + b + c == kLimit);
  BOOST_TEST(a >= 90U);
}

BOOST_AUTO_TEST_CASE(SharesInUseNeverExceedTheLimitInTotal) {
  Fixture fixture;
  std::map<std::string, std::uint32_t> shares;
  for (const char* entry : {"a", "b", "c"}) fixture.Renew(entry, 0);
  for (const char* entry : {"a", "b", "c"}) {
    shares[entry] = fixture.Renew(entry, 0);
  }
  // Demand shifts between the entries; each entry learns its new share only
  // when it renews.
  constexpr std::uint32_t kDemands[] = {90, 0, 60, 0, 10, 95, 0, 0};
  std::size_t step = 0;
  for (const std::uint32_t demanded : kDemands) {
    const std::string entry(1, static_cast<char>('a' + step++ % 3));
    shares[entry] = fixture.Renew(entry, demanded);
    BOOST_TEST(shares["a"] + shares["b"] + shares["c"] <= kLimit);
  }
}

BOOST_AUTO_TEST_CASE(EvenSharesAddUpToALimitThatDoesNotDivideEvenly) {
  Fixture fixture;
  for (const char* entry : {"a", "b", "c"}) fixture.Renew(entry, 0);
  std::uint32_t sum = 0;
  for (const char* entry : {"a", "b", "c"}) sum += fixture.Renew(entry, 0);
  BOOST_TEST(sum == kLimit);
}

BOOST_AUTO_TEST_CASE(TheShareOfAnExpiredEntryIsReleased) {
  Fixture fixture;
  fixture.Renew("a", 80);
  fixture.now += kLease / 2;
  fixture.Renew("b", 80);
  BOOST_TEST(fixture.Renew("a", 80) == kLimit / 2);
  fixture.now += kLease;
  BOOST_TEST(fixture.Renew("a", 80) == kLimit);
}

}  // namespace
}  // namespace coltsfootfork
