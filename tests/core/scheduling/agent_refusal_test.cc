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

// Every refusal has its reason counted and tells when to come again.
void CheckRefused(const AgentHarness& agent, Reason reason) {
  BOOST_TEST(agent.Counted(reason) == 1);
  const auto refused = agent.AtEntry<RequestRefused>();
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
    agent.Serve();
    agent.Send(AgentHarness::Work("r1"));
    agent.Token("r1", 0);
    agent.Token("r1", 1);
    agent.Send(AgentHarness::Work("r2"));
    CheckRefused(agent, reason);
  }
}

BOOST_AUTO_TEST_CASE(EveryEndGivesTheStreamBack) {
  AgentHarness agent;
  SetLimits(agent, {0, 0, 1});
  agent.Serve();
  agent.Send(AgentHarness::Work("completed"));
  agent.Complete("completed", 0);
  agent.Send(AgentHarness::Work("cancelled"));
  agent.Send(CancelRequest{RequestId("cancelled"), 1});
  agent.Send(AgentHarness::Work("refused"));
  agent.Engine(EngineRefused{RequestId("refused"), 1});
  agent.Send(AgentHarness::Work("broken"));
  agent.Engine(EngineInterrupted{RequestId("broken"), 1, false});
  agent.Send(AgentHarness::Work("last"));
  BOOST_TEST(agent.Counted(Reason::kWorkspaceStreamLimit) == 0);
  BOOST_TEST(agent.Started() == "completed cancelled refused broken last");
}

BOOST_AUTO_TEST_CASE(WhatTheServerCannotDoIsRefusedAtOnce) {
  AgentHarness unknown;
  unknown.Serve();
  Dispatch other = AgentHarness::Work("r1");
  other.service = ServiceId("other");
  unknown.Send(other);
  CheckRefused(unknown, Reason::kUnknownService);

  AgentHarness small;
  small.Serve();
  Dispatch large = AgentHarness::Work("r1");
  large.prompt_tokens = 10000;
  small.Send(large);
  CheckRefused(small, Reason::kRequestTooLarge);
}

BOOST_AUTO_TEST_CASE(AFullQueueRefuses) {
  AgentOptions options;
  options.queue = {1, 1};
  AgentHarness agent(options);
  agent.announced.max_batch = 1;
  agent.Serve();
  for (const char* id : {"runs", "waits", "refused"}) {
    agent.Send(AgentHarness::Work(id));
  }
  CheckRefused(agent, Reason::kQueueFull);
}

BOOST_AUTO_TEST_CASE(WorkThatWaitedTooLongIsRefusedAsNotRun) {
  AgentHarness agent;
  agent.announced.max_batch = 1;
  agent.Serve();
  agent.Send(AgentHarness::Work("runs"));
  Dispatch urgent = AgentHarness::Work("waits");
  urgent.start_within = milliseconds(500);
  agent.Send(urgent);
  agent.Tick(milliseconds(499));
  BOOST_TEST(agent.Counted(Reason::kDeadlineUnreachable) == 0);
  agent.Tick(milliseconds(1));
  CheckRefused(agent, Reason::kDeadlineUnreachable);
  agent.Token("runs", 0);
  agent.Complete("runs", 1);
  BOOST_TEST(agent.Started() == "runs");
}

// Lets the server make 100 tokens a second for one of many waiting requests.
void MeasureCapacity(AgentHarness& agent) {
  agent.announced.max_batch = 1;
  agent.Serve();
  for (int i = 0; i < 20; ++i) {
    agent.Send(AgentHarness::Work("r" + std::to_string(i)));
  }
  for (std::uint32_t index = 0; index < 300; ++index) {
    agent.Token("r0", index);
    agent.Tick(milliseconds(10));
  }
}

BOOST_AUTO_TEST_CASE(WorkThatCannotStartInTimeIsRefusedAtOnce) {
  AgentHarness agent;
  MeasureCapacity(agent);
  Dispatch hurried = AgentHarness::Work("hurried");
  hurried.start_within = seconds(10);
  agent.Send(hurried);
  CheckRefused(agent, Reason::kDeadlineUnreachable);
  BOOST_TEST(agent.AtEntry<RequestRefused>().at(0).retry_after.count() > 10000);
  BOOST_TEST(agent.AtEntry<ServerReport>().back().urgent_delay.count() > 0);
}

BOOST_AUTO_TEST_CASE(ASmallCallerIsNotRefusedForALargeOnesQueue) {
  AgentHarness agent;
  MeasureCapacity(agent);
  Dispatch small = AgentHarness::Work("small", Rank::kUrgent, "w2");
  small.start_within = seconds(10);
  agent.Send(small);
  BOOST_TEST(agent.AtEntry<RequestRefused>().empty());
  agent.Complete("r0", 300);
  BOOST_TEST(agent.Started() == "r0 small");
}

BOOST_AUTO_TEST_CASE(TheSameInputsGiveTheSameEffects) {
  AgentHarness one;
  AgentHarness two;
  MeasureCapacity(one);
  MeasureCapacity(two);
  for (AgentHarness* agent : {&one, &two}) {
    Dispatch hurried = AgentHarness::Work("hurried");
    hurried.start_within = seconds(1);
    agent->Send(hurried);
  }
  BOOST_TEST(one.effects.size() == two.effects.size());
  BOOST_TEST((one.AtEntry<RequestRefused>().at(0).retry_after ==
              two.AtEntry<RequestRefused>().at(0).retry_after));
}

}  // namespace
}  // namespace coltsfootfork
