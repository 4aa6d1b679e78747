#include "coltsfootfork/core/control_state/control_service.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "core/control_state/control_fixture.h"

namespace coltsfootfork {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr milliseconds kWallClock = hours(500000);
const LeaderView kLeader{true, ProcessId("control-1"), 3, {}};
const LeaderView kFollower{false, ProcessId("control-1"), 3, {}};

PutConfiguration PutOf(Revision expected, const std::string& change_id) {
  PutConfiguration put;
  put.expected = expected;
  put.change_id = change_id;
  put.document = DocumentOf(change_id);
  return put;
}

// A single replica without peers, whose proposals are committed at once.
class Replica {
 public:
  template <typename Reply>
  Reply Execute(const ControlRequest& request, const LeaderView& view = kLeader,
                Time now = kStart, milliseconds wall_clock = kWallClock) {
    ReplyOrCommand reply_or_command =
        service.Handle(request, view, wall_clock, now);
    if (auto* command = std::get_if<ControlCommand>(&reply_or_command)) {
      last_command = *command;
      return std::get<Reply>(state.Apply(*command));
    }
    return std::get<Reply>(std::get<ControlReply>(reply_or_command));
  }

  ControlState state;
  ControlService service{state};
  ControlCommand last_command;
};

BOOST_AUTO_TEST_CASE(WithoutTheLeaderLeaseWritesFailAndReadsAreNotCurrent) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  const auto put =
      replica.Execute<PutConfigurationReply>(PutOf(1, "x"), kFollower);
  BOOST_TEST((put.verdict == PutVerdict::kNoQuorum));
  const auto claim = replica.Execute<ClaimBeginReply>(ClaimBegin{}, kFollower);
  BOOST_TEST((claim.verdict == ClaimVerdict::kNoQuorum));
  BOOST_TEST(
      !replica.Execute<ClaimSettleReply>(ClaimSettle{}, kFollower).committed);
  BOOST_TEST(
      !replica.Execute<RenewLeaseReply>(RenewLease{}, kFollower).granted);
  BOOST_TEST(
      !replica.Execute<ReadStatusReply>(ReadStatus{}, kFollower).current);
  // Any replica may serve a committed document, but only a leader confirms it
  // as current.
  const auto fetched =
      replica.Execute<FetchStateReply>(FetchState{}, kFollower);
  BOOST_TEST(!fetched.current);
  BOOST_TEST(fetched.revision == 1U);
  BOOST_TEST(fetched.payload == replica.state.document());
  BOOST_TEST(replica.state.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(AnInvalidDocumentIsRefusedWithoutALogEntry) {
  Replica replica;
  PutConfiguration put = PutOf(0, "first");
  put.change_id = "two words";
  put.document = "{\"rules\": 1}";
  const auto reply = replica.Execute<PutConfigurationReply>(put);
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(reply.findings.size() == 3U);
  BOOST_TEST(replica.last_command.at.count() == 0);
}

BOOST_AUTO_TEST_CASE(TheLogEntryHoldsAPatchInsteadOfTheDocument) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  replica.Execute<PutConfigurationReply>(PutOf(1, "second"));
  const auto& put = std::get<PutConfiguration>(replica.last_command.request);
  BOOST_TEST(put.is_patch);
  BOOST_TEST(put.document.size() < replica.state.document().size() / 2);
  BOOST_TEST(replica.state.document() == DocumentOf("second"));
  // The document of a conflicting change is left out of the log.
  const auto conflicting =
      replica.Execute<PutConfigurationReply>(PutOf(1, "loser"));
  BOOST_TEST((conflicting.verdict == PutVerdict::kConflict));
  BOOST_TEST(conflicting.winner_change_id == "second");
  BOOST_TEST(std::get<PutConfiguration>(replica.last_command.request)
                 .document.empty());
  const auto retry = replica.Execute<PutConfigurationReply>(PutOf(1, "second"));
  BOOST_TEST((retry.verdict == PutVerdict::kAccepted));
  BOOST_TEST(retry.revision == 2U);
}

BOOST_AUTO_TEST_CASE(OfTwoChangesInFlightForOneRevisionTheSecondConflicts) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  const auto propose = [&](const std::string& id) {
    return std::get<ControlCommand>(
        replica.service.Handle(PutOf(1, id), kLeader, kWallClock, kStart));
  };
  const ControlCommand a = propose("a");
  const ControlCommand b = propose("b");
  const auto first = std::get<PutConfigurationReply>(replica.state.Apply(b));
  const auto second = std::get<PutConfigurationReply>(replica.state.Apply(a));
  BOOST_TEST((first.verdict == PutVerdict::kAccepted));
  BOOST_TEST((second.verdict == PutVerdict::kConflict));
  BOOST_TEST(second.winner_change_id == "b");
  BOOST_TEST(replica.state.document() == DocumentOf("b"));
}

BOOST_AUTO_TEST_CASE(AStepOfTheWallClockDoesNotExpireClaims) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  const ClaimBegin begin{{WorkspaceId("demo"), "key"}, "d", RequestId("r")};
  replica.Execute<ClaimBeginReply>(begin);
  const Time later = kStart + seconds(10);
  replica.Execute<ClaimSettleReply>(
      ClaimSettle{begin.claim, begin.request, ClaimOutcome::kUnknown, {}},
      kLeader, later, kWallClock + hours(1000));
  BOOST_TEST((replica.last_command.at == kWallClock + seconds(10)));
  BOOST_TEST(replica.state.claim_count() == 1U);
}

BOOST_AUTO_TEST_CASE(AGrantedLeaseAddsTheAgentToTheDirectory) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  RenewLease renew;
  renew.process = ProcessId("agent-1");
  renew.zone = ZoneId("local");
  renew.server = ServerId("engine-1");
  renew.services = {ServiceId("mirror")};
  renew.in_force = 1;
  const auto granted = replica.Execute<RenewLeaseReply>(renew);
  BOOST_TEST(granted.granted);
  BOOST_TEST(granted.revision == 1U);
  BOOST_TEST(granted.directory_version == 0U);
  const Time later = kStart + seconds(4);
  const auto renewed = replica.Execute<RenewLeaseReply>(renew, kLeader, later);
  BOOST_TEST(renewed.directory_version > 0U);
  const auto fetched =
      replica.Execute<FetchStateReply>(FetchState{1, 0, false}, kLeader, later);
  BOOST_TEST(fetched.current);
  BOOST_TEST(fetched.payload.empty());
  BOOST_TEST_REQUIRE(fetched.directory.size() == 1U);
  const FetchState known{1, fetched.directory_version, false};
  const auto repeated = replica.Execute<FetchStateReply>(known, kLeader, later);
  BOOST_TEST(repeated.directory.empty());
  const auto status =
      replica.Execute<ReadStatusReply>(ReadStatus{}, kLeader, later);
  BOOST_TEST(status.processes.size() == 1U);
  BOOST_TEST(status.leader == ProcessId("control-1"));
}

// A leader that lost its lease for a while received no renewals. When it leads
// again in the same term, it must not publish a directory without agents.
BOOST_AUTO_TEST_CASE(ALeaderThatRegainsItsLeaseRebuildsItsDirectory) {
  Replica replica;
  replica.Execute<PutConfigurationReply>(PutOf(0, "first"));
  const Time later = kStart + seconds(60);
  replica.Execute<ReadStatusReply>(ReadStatus{}, kLeader, kStart);
  replica.Execute<ReadStatusReply>(ReadStatus{}, kFollower, later);
  const auto reply =
      replica.Execute<FetchStateReply>(FetchState{}, kLeader, later);
  BOOST_TEST(reply.current);
  BOOST_TEST(reply.directory_version == 0U);
}

}  // namespace
}  // namespace coltsfootfork
