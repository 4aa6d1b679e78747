#include "core/replay/recorded_entry.h"

#include <utility>

namespace coltsfootfork::testing {
namespace {

constexpr std::uint64_t kSeed = 7;

TraceHeader MakeHeader(bool whole_bodies) {
  TraceHeader header;
  header.options.process = ProcessId("entry1");
  header.options.zone = ZoneId("z1");
  header.seed = kSeed;
  header.whole_bodies = whole_bodies;
  return header;
}

CallerRequest MakeCall(const std::string& request, const std::string& service) {
  CallerRequest call;
  call.request = RequestId(request);
  call.workspace = WorkspaceId("w1");
  call.service = ServiceId(service);
  call.method = "POST";
  call.body = R"({"prompt":"a silk scarf"})";
  call.request_digest = "digest";
  return call;
}

}  // namespace

RecordedEntry::RecordedEntry(bool whole_bodies)
    : header_(MakeHeader(whole_bodies)),
      recorder_(out_, header_),
      core_(header_.options, header_.seed) {
  ConfigurationOf(3);
  LinkUp(ProcessId("a"));
  LinkUp(ProcessId("b"));
}

void RecordedEntry::Input(const EntryInput& input) {
  now_ += std::chrono::milliseconds(10);
  const auto effects = core_.Handle(input, now_);
  recorder_.OnInput(input, effects, now_);
  Note(effects);
}

void RecordedEntry::Tick(std::chrono::milliseconds after) {
  now_ += after;
  const auto effects = core_.Tick(now_);
  recorder_.OnTick(effects, now_);
  Note(effects);
}

void RecordedEntry::Note(const std::vector<EntryEffect>& effects) {
  for (const EntryEffect& effect : effects) {
    const auto* send = std::get_if<SendToAgent>(&effect);
    if (send == nullptr) continue;
    const auto* dispatch = std::get_if<Dispatch>(&send->message);
    if (dispatch == nullptr) continue;
    agent_ = send->agent;
    dispatch_ = *dispatch;
  }
}

void RecordedEntry::ConfigurationOf(Revision revision) {
  auto configuration = std::make_shared<Configuration>();
  configuration->revision = revision;
  configuration->zones = {{ZoneId("z1"), "r1"}};
  configuration->services = {{ServiceId("model"), RequestKind::kGeneration},
                             {ServiceId("ledger"), RequestKind::kPlainCall}};
  configuration->workspaces = {{WorkspaceId("w1"), "", 1.0, {}}};
  configuration->rules.ranks = {
      {Rank::kUrgent, std::nullopt, ServiceId("model")}};
  configuration->rules.non_idempotent = {{ServiceId("ledger"), "POST", "/"}};
  Input(ConfigurationInForce{std::move(configuration)});
}

void RecordedEntry::LinkUp(const ProcessId& agent) {
  Input(AgentConnected{agent});
  ServerReport report;
  report.server = ServerId("server-" + agent.value());
  report.incarnation = 1;
  report.zone = ZoneId("z1");
  report.services = {ServiceId("model"), ServiceId("ledger")};
  report.serving = true;
  report.memory_tokens = 100000;
  SendFrom(agent, report);
}

void RecordedEntry::AskStream(const std::string& request) {
  CallerRequest call = MakeCall(request, "model");
  call.target = "/v1/completions";
  call.stream = true;
  call.prompt_tokens = 6;
  Input(call);
}

void RecordedEntry::AskSale(const std::string& request) {
  CallerRequest call = MakeCall(request, "ledger");
  call.kind = RequestKind::kPlainCall;
  call.target = "/sales";
  call.idempotency_key = "sale-1";
  Input(call);
}

void RecordedEntry::SendFrom(const ProcessId& agent, AgentToEntry message) {
  Input(AgentMessage{agent, std::move(message)});
}

void RecordedEntry::TokenOf(Generation generation, std::uint32_t index) {
  SendFrom(agent_, TokenFrame{dispatch_.request, generation, index,
                              " g" + std::to_string(generation) + "t" +
                                  std::to_string(index)});
}

void RecordedEntry::Token(std::uint32_t index) {
  TokenOf(dispatch_.generation, index);
}

void RecordedEntry::Completed(std::uint32_t tokens) {
  RequestCompleted completed;
  completed.request = dispatch_.request;
  completed.generation = dispatch_.generation;
  completed.token_count = tokens;
  completed.finish_reason = "stop";
  SendFrom(agent_, completed);
}

void RecordedEntry::Refused(Reason reason) {
  SendFrom(agent_, RequestRefused{dispatch_.request, dispatch_.generation,
                                  reason, std::chrono::milliseconds(500)});
}

void RecordedEntry::Interrupted(bool resumable) {
  SendFrom(agent_, RequestInterrupted{dispatch_.request, dispatch_.generation,
                                      Reason::kServerLost, resumable});
}

std::string RecordedEntry::Finish() {
  recorder_.Finish();
  return out_.str();
}

}  // namespace coltsfootfork::testing
