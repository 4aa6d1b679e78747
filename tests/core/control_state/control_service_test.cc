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
constexpr milliseconds kWall = hours(500000);
const LeaderView kLeader{true, ProcessId("control-1"), 3, {}};
const LeaderView kFollower{false, ProcessId("control-1"), 3, {}};

PutConfiguration PutOf(Revision expected, const std::string& change_id) {
  PutConfiguration put;
  put.expected = expected;
  put.change_id = change_id;
  put.document = DocumentOf(change_id);
  return put;
}

// One replica that leads alone: what it proposes is committed at once.
class Replica {
 public:
  template <typename Reply>
  Reply Ask(const ControlRequest& request, const LeaderView& view = kLeader,
            Time now = kStart, milliseconds wall = kWall) {
    ReplyOrCommand answer = service.Handle(request, view, wall, now);
    if (auto* command = std::get_if<ControlCommand>(&answer)) {
      last_command = *command;
      return std::get<Reply>(state.Apply(*command));
    }
    return std::get<Reply>(std::get<ControlReply>(answer));
  }

  ControlState state;
  ControlService service{state};
  ControlCommand last_command;
};

BOOST_AUTO_TEST_CASE(WithoutALeaseNothingIsWrittenOrCalledCurrent) {
  Replica replica;
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  const auto put = replica.Ask<PutConfigurationReply>(PutOf(1, "x"), kFollower);
  BOOST_TEST((put.verdict == PutVerdict::kNoQuorum));
  const auto claim = replica.Ask<ClaimBeginReply>(ClaimBegin{}, kFollower);
  BOOST_TEST((claim.verdict == ClaimVerdict::kNoQuorum));
  BOOST_TEST(
      !replica.Ask<ClaimSettleReply>(ClaimSettle{}, kFollower).committed);
  BOOST_TEST(!replica.Ask<RenewLeaseReply>(RenewLease{}, kFollower).granted);
  BOOST_TEST(!replica.Ask<ReadStatusReply>(ReadStatus{}, kFollower).current);
  // A committed document may be read anywhere, but confirms nothing.
  const auto fetched = replica.Ask<FetchStateReply>(FetchState{}, kFollower);
  BOOST_TEST(!fetched.current);
  BOOST_TEST(fetched.revision == 1U);
  BOOST_TEST(fetched.payload == replica.state.document());
  BOOST_TEST(replica.state.revision() == 1U);
}

BOOST_AUTO_TEST_CASE(AFaultyDocumentIsAnsweredBeforeTheLog) {
  Replica replica;
  PutConfiguration put = PutOf(0, "first");
  put.change_id = "two words";
  put.document = "{\"rules\": 1}";
  const auto reply = replica.Ask<PutConfigurationReply>(put);
  BOOST_TEST((reply.verdict == PutVerdict::kInvalid));
  BOOST_TEST(reply.findings.size() == 3U);
  BOOST_TEST(replica.last_command.at.count() == 0);
}

BOOST_AUTO_TEST_CASE(OnlyTheDifferenceGoesIntoTheLog) {
  Replica replica;
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  replica.Ask<PutConfigurationReply>(PutOf(1, "second"));
  const auto& put = std::get<PutConfiguration>(replica.last_command.request);
  BOOST_TEST(put.is_patch);
  BOOST_TEST(put.document.size() < replica.state.document().size() / 2);
  BOOST_TEST(replica.state.document() == DocumentOf("second"));
  // A loser's document is not needed at all.
  const auto loser = replica.Ask<PutConfigurationReply>(PutOf(1, "loser"));
  BOOST_TEST((loser.verdict == PutVerdict::kConflict));
  BOOST_TEST(loser.winner_change_id == "second");
  BOOST_TEST(std::get<PutConfiguration>(replica.last_command.request)
                 .document.empty());
  const auto resend = replica.Ask<PutConfigurationReply>(PutOf(1, "second"));
  BOOST_TEST((resend.verdict == PutVerdict::kAccepted));
  BOOST_TEST(resend.revision == 2U);
}

BOOST_AUTO_TEST_CASE(TwoChangesInFlightUnderOneNumber) {
  Replica replica;
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  const auto propose = [&](const std::string& id) {
    return std::get<ControlCommand>(
        replica.service.Handle(PutOf(1, id), kLeader, kWall, kStart));
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
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  const ClaimBegin begin{{WorkspaceId("demo"), "key"}, "d", RequestId("r")};
  replica.Ask<ClaimBeginReply>(begin);
  const Time later = kStart + seconds(10);
  replica.Ask<ClaimSettleReply>(
      ClaimSettle{begin.claim, begin.request, ClaimOutcome::kUnknown, {}},
      kLeader, later, kWall + hours(1000));
  BOOST_TEST((replica.last_command.at == kWall + seconds(10)));
  BOOST_TEST(replica.state.claim_count() == 1U);
}

BOOST_AUTO_TEST_CASE(ALeaseIsGrantedAndTheDirectoryFollows) {
  Replica replica;
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  RenewLease renew;
  renew.process = ProcessId("agent-1");
  renew.zone = ZoneId("local");
  renew.server = ServerId("engine-1");
  renew.services = {ServiceId("mirror")};
  renew.in_force = 1;
  const auto granted = replica.Ask<RenewLeaseReply>(renew);
  BOOST_TEST(granted.granted);
  BOOST_TEST(granted.revision == 1U);
  BOOST_TEST(granted.directory_version == 0U);
  const Time later = kStart + seconds(4);
  const auto renewed = replica.Ask<RenewLeaseReply>(renew, kLeader, later);
  BOOST_TEST(renewed.directory_version > 0U);
  const auto fetched =
      replica.Ask<FetchStateReply>(FetchState{1, 0, false}, kLeader, later);
  BOOST_TEST(fetched.current);
  BOOST_TEST(fetched.payload.empty());
  BOOST_TEST_REQUIRE(fetched.directory.size() == 1U);
  const FetchState known{1, fetched.directory_version, false};
  const auto again = replica.Ask<FetchStateReply>(known, kLeader, later);
  BOOST_TEST(again.directory.empty());
  const auto status =
      replica.Ask<ReadStatusReply>(ReadStatus{}, kLeader, later);
  BOOST_TEST(status.processes.size() == 1U);
  BOOST_TEST(status.leader == ProcessId("control-1"));
}

// A leader that lost its lease for a while has heard no renewals, and must
// not call all agents dead when it leads again in the same term.
BOOST_AUTO_TEST_CASE(ALeaderThatLeadsAgainRebuildsItsDirectory) {
  Replica replica;
  replica.Ask<PutConfigurationReply>(PutOf(0, "first"));
  const Time later = kStart + seconds(60);
  replica.Ask<ReadStatusReply>(ReadStatus{}, kLeader, kStart);
  replica.Ask<ReadStatusReply>(ReadStatus{}, kFollower, later);
  const auto reply = replica.Ask<FetchStateReply>(FetchState{}, kLeader, later);
  BOOST_TEST(reply.current);
  BOOST_TEST(reply.directory_version == 0U);
}

}  // namespace
}  // namespace coltsfootfork
