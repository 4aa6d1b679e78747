#include <boost/test/unit_test.hpp>
#include <string>

#include "core/scheduling/agent_harness.h"

namespace coltsfootfork {
namespace {

void SetLimits(AgentHarness& agent, WorkspaceLimits limits) {
  Workspace workspace;
  workspace.id = WorkspaceId("w1");
  workspace.limits = limits;
  agent.configuration.workspaces = {workspace};
}

// Every refusal is counted by reason and has a retry delay.
void CheckRefused(const AgentHarness& agent, Reason reason) {
  BOOST_TEST(agent.CountOf(reason) == 1);
  const auto refused = agent.SentToEntry<RequestRefused>();
  BOOST_TEST(refused.size() == 1U);
  BOOST_TEST((refused.at(0).reason == reason));
  BOOST_TEST(refused.at(0).retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(WorkspaceLimitsRefuse) {
  const std::pair<WorkspaceLimits, Reason> cases[] = {
      {{1, 0, 0}, Reason::kWorkspaceRequestLimit},
      {{0, 1, 0}, Reason::kWorkspaceTokenLimit},
      {{0, 0, 1}, Reason::kWorkspaceStreamLimit}};
  for (const auto& [limits, reason] : cases) {
    AgentHarness agent;
    SetLimits(agent, limits);
    agent.StartServing();
    agent.FromEntry(AgentHarness::MakeDispatch("r1"));
    agent.GenerateToken("r1", 0);
    agent.GenerateToken("r1", 1);
    agent.FromEntry(AgentHarness::MakeDispatch("r2"));
    CheckRefused(agent, reason);
  }
}

BOOST_AUTO_TEST_CASE(EveryOutcomeReleasesTheStream) {
  AgentHarness agent;
  SetLimits(agent, {0, 0, 1});
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("completed"));
  agent.Complete("completed", 0);
  agent.FromEntry(AgentHarness::MakeDispatch("cancelled"));
  agent.FromEntry(CancelRequest{RequestId("cancelled"), 1});
  agent.FromEntry(AgentHarness::MakeDispatch("refused"));
  agent.FromEngine(EngineRefused{RequestId("refused"), 1});
  agent.FromEntry(AgentHarness::MakeDispatch("broken"));
  agent.FromEngine(EngineInterrupted{RequestId("broken"), 1, false});
  agent.FromEntry(AgentHarness::MakeDispatch("last"));
  BOOST_TEST(agent.CountOf(Reason::kWorkspaceStreamLimit) == 0);
  BOOST_TEST(agent.SubmittedIds() == "completed cancelled refused broken last");
}

BOOST_AUTO_TEST_CASE(UnservableRequestIsRefusedImmediately) {
  AgentHarness unknown;
  unknown.StartServing();
  Dispatch other = AgentHarness::MakeDispatch("r1");
  other.service = ServiceId("other");
  unknown.FromEntry(other);
  CheckRefused(unknown, Reason::kUnknownService);

  AgentHarness small;
  small.StartServing();
  Dispatch large = AgentHarness::MakeDispatch("r1");
  large.prompt_tokens = 10000;
  small.FromEntry(large);
  CheckRefused(small, Reason::kRequestTooLarge);
}

BOOST_AUTO_TEST_CASE(FullQueueRefusesRequest) {
  AgentOptions options;
  options.queue = {1, 1};
  AgentHarness agent(options);
  agent.announcement.max_batch = 1;
  agent.StartServing();
  for (const char* id : {"runs", "waits", "refused"}) {
    agent.FromEntry(AgentHarness::MakeDispatch(id));
  }
  CheckRefused(agent, Reason::kQueueFull);
}

BOOST_AUTO_TEST_CASE(ExpiredRequestIsRefusedAsNotRun) {
  AgentHarness agent;
  agent.announcement.max_batch = 1;
  agent.StartServing();
  agent.FromEntry(AgentHarness::MakeDispatch("runs"));
  Dispatch urgent = AgentHarness::MakeDispatch("waits");
  urgent.start_within = milliseconds(500);
  agent.FromEntry(urgent);
  agent.Tick(milliseconds(499));
  BOOST_TEST(agent.CountOf(Reason::kDeadlineUnreachable) == 0);
  agent.Tick(milliseconds(1));
  CheckRefused(agent, Reason::kDeadlineUnreachable);
  agent.GenerateToken("runs", 0);
  agent.Complete("runs", 1);
  BOOST_TEST(agent.SubmittedIds() == "runs");
}

// Generates 100 tokens per second for one request while others are queued.
void MeasureCapacity(AgentHarness& agent) {
  agent.announcement.max_batch = 1;
  agent.StartServing();
  for (int i = 0; i < 20; ++i) {
    agent.FromEntry(AgentHarness::MakeDispatch("r" + std::to_string(i)));
  }
  for (std::uint32_t index = 0; index < 300; ++index) {
    agent.GenerateToken("r0", index);
    agent.Tick(milliseconds(10));
  }
}

BOOST_AUTO_TEST_CASE(RequestThatCannotStartInTimeIsRefusedImmediately) {
  AgentHarness agent;
  MeasureCapacity(agent);
  Dispatch hurried = AgentHarness::MakeDispatch("hurried");
  hurried.start_within = seconds(10);
  agent.FromEntry(hurried);
  CheckRefused(agent, Reason::kDeadlineUnreachable);
  BOOST_TEST(agent.SentToEntry<RequestRefused>().at(0).retry_after.count() >
             10000);
  BOOST_TEST(agent.SentToEntry<ServerReport>().back().urgent_delay.count() > 0);
}

BOOST_AUTO_TEST_CASE(SmallCallerIsNotRefusedForQueueOfLargeOne) {
  AgentHarness agent;
  MeasureCapacity(agent);
  Dispatch small = AgentHarness::MakeDispatch("small", Rank::kUrgent, "w2");
  small.start_within = seconds(10);
  agent.FromEntry(small);
  BOOST_TEST(agent.SentToEntry<RequestRefused>().empty());
  agent.Complete("r0", 300);
  BOOST_TEST(agent.SubmittedIds() == "r0 small");
}

BOOST_AUTO_TEST_CASE(SameInputsProduceSameEffects) {
  AgentHarness one;
  AgentHarness two;
  MeasureCapacity(one);
  MeasureCapacity(two);
  for (AgentHarness* agent : {&one, &two}) {
    Dispatch hurried = AgentHarness::MakeDispatch("hurried");
    hurried.start_within = seconds(1);
    agent->FromEntry(hurried);
  }
  BOOST_TEST(one.effects.size() == two.effects.size());
  BOOST_TEST((one.SentToEntry<RequestRefused>().at(0).retry_after ==
              two.SentToEntry<RequestRefused>().at(0).retry_after));
}

}  // namespace
}  // namespace coltsfootfork
