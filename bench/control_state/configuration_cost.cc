#include "control_state/configuration_cost.h"

#include <cstdio>
#include <memory>
#include <string>

#include "coltsfootfork/core/configuration/canonical_form.h"
#include "coltsfootfork/core/configuration/configuration_delta.h"
#include "coltsfootfork/core/configuration/configuration_synchronizer.h"
#include "coltsfootfork/core/configuration/parse_configuration.h"
#include "coltsfootfork/core/configuration/sha256.h"
#include "coltsfootfork/core/control_state/control_codec.h"
#include "coltsfootfork/core/control_state/control_service.h"
#include "control_state/fleet_document.h"
#include "control_state/measure.h"

namespace coltsfootfork {
namespace {

using Json = nlohmann::json;

constexpr int kRuns = 7;
constexpr Revision kChanges = 1000;
constexpr Time kNow{std::chrono::seconds(1000)};
const LeaderView kLeader{true, ProcessId("control-1"), 1, {}};

ControlCommand Propose(ControlService& service, Revision expected,
                       const std::string& document) {
  PutConfiguration put;
  put.expected = expected;
  put.change_id = "change-" + std::to_string(expected);
  put.document = document;
  return std::get<ControlCommand>(
      service.Handle(put, kLeader, std::chrono::hours(1), kNow));
}

std::string WithWeight(Json document, int weight) {
  document["inventory"]["workspaces"][1]["weight"] = weight;
  return document.dump();
}

// A change of one workspace's weight as the leader logs it. The digest is not
// the document's, which only processes that put it in force look at.
ControlCommand WeightChange(const FleetSize& size, Revision revision) {
  const std::string id = WorkspaceName(revision % size.workspaces);
  const Json patch = {{{"op", "replace"},
                       {"path", "/inventory/workspaces/" + id + "/weight"},
                       {"value", 3 + revision % 100}}};
  PutConfiguration put;
  put.expected = revision;
  put.change_id = "change-" + std::to_string(revision);
  put.document = patch.dump();
  put.is_patch = true;
  put.digest = Sha256Hex(put.document);
  return {std::chrono::hours(1), put};
}

void PrintDeltas(const FleetSize& size) {
  const Json document = FleetDocument(size);
  const std::string before = CanonicalForm(document.dump()).value();
  Json weight = document;
  weight["inventory"]["workspaces"][1]["weight"] = 7;
  Json added = document;
  Json engine = document["inventory"]["engines"][0];
  engine["id"] = "engine-00001";
  added["inventory"]["engines"].push_back(engine);
  Json removed = document;
  removed["inventory"]["workspaces"].erase(size.workspaces / 2);
  Json rule = document;
  Json& ranks = rule["rules"]["ranks"];
  ranks.insert(ranks.begin(), {{"rank", "deferrable"}});
  const auto bytes = [&before](const Json& after) {
    return MakeDelta(before, after.dump()).value().size();
  };
  std::printf("| %zu / %zu | %zu | %zu | %zu | %zu | %zu |\n", size.servers,
              size.workspaces, before.size(), bytes(weight), bytes(added),
              bytes(removed), bytes(rule));
}

void PrintTimes(const FleetSize& size) {
  Json document = FleetDocument(size);
  const std::string text = document.dump();
  Findings findings;
  const auto parse = MedianTime(kRuns, [&] {
    if (!ParseConfiguration(text, findings).has_value()) std::abort();
  });
  const auto configuration = std::make_shared<const Configuration>(
      ParseConfiguration(text, findings).value());
  const auto index =
      MedianTime(kRuns, [&] { ServingRules rules(configuration); });
  ControlState state;
  ControlService service(state);
  state.Apply(Propose(service, 0, text));
  ConfigurationSynchronizer follower({}, 0);
  follower.OnReply(state.Fetch({}), kNow);
  ControlCommand command;
  const std::string changed = WithWeight(document, 1);
  const auto propose = MedianTime(
      kRuns, [&] { command = Propose(service, state.revision(), changed); });
  ControlState scratch = state;
  const auto apply = MedianTime(
      kRuns, [&] { scratch.Apply(WeightChange(size, scratch.revision())); });
  state.Apply(command);
  const FetchStateReply reply = state.Fetch({1, 0, false});
  const auto follow = MedianTime(kRuns, [&] {
    ConfigurationSynchronizer copy = follower;
    copy.OnReply(reply, kNow);
  });
  std::printf("| %zu / %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %zu |\n",
              size.servers, size.workspaces, InMilliseconds(parse),
              InMilliseconds(index), InMilliseconds(propose),
              InMilliseconds(apply), InMilliseconds(follow),
              EncodeControlCommand(command).size());
}

void PrintMemory(const FleetSize& size) {
  Json document = FleetDocument(size);
  const std::size_t empty = HeapBytes();
  ControlState state;
  ControlService service(state);
  state.Apply(Propose(service, 0, document.dump()));
  const std::size_t one = HeapBytes() - empty;
  std::vector<ControlCommand> log;
  for (Revision revision = 1; revision <= kChanges; ++revision) {
    log.push_back(WeightChange(size, revision));
    state.Apply(log.back());
  }
  const std::string snapshot = state.Snapshot();
  ControlState replayed;
  ControlService first(replayed);
  replayed.Apply(Propose(first, 0, FleetDocument(size).dump()));
  const auto replay = MedianTime(1, [&] {
    for (const ControlCommand& command : log) replayed.Apply(command);
  });
  const auto restore = MedianTime(1, [&] {
    ControlState target;
    if (!target.Restore(snapshot)) std::abort();
  });
  std::printf("| %zu / %zu | %.2f | %zu | %.0f | %.1f |\n", size.servers,
              size.workspaces, static_cast<double>(one) / 1e6, snapshot.size(),
              InMilliseconds(replay), InMilliseconds(restore));
}

}  // namespace

void PrintConfigurationCost() {
  std::printf(
      "\n| engines / workspaces | document, bytes | delta: weight | engine "
      "added | workspace removed | rank rule put first |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const FleetSize& size : kFleetSizes) PrintDeltas(size);
  std::printf(
      "\n| engines / workspaces | parse, ms | index, ms | leader checks, ms | "
      "replica applies, ms | follower takes a delta, ms | log entry, bytes |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const FleetSize& size : kFleetSizes) PrintTimes(size);
  std::printf(
      "\n| engines / workspaces | heap of state and inventory, MB | snapshot "
      "after 1,000 changes, bytes | replay of 1,000 changes, ms | restore, ms "
      "|\n| --- | --- | --- | --- | --- |\n");
  for (const FleetSize& size : kFleetSizes) PrintMemory(size);
}

}  // namespace coltsfootfork
