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
  ApplyConfiguration(3);
  ConnectAgent(ProcessId("a"));
  ConnectAgent(ProcessId("b"));
}

void RecordedEntry::Input(const EntryInput& input) {
  now_ += std::chrono::milliseconds(10);
  const auto effects = core_.Handle(input, now_);
  recorder_.OnInput(input, effects, now_);
  RememberLastDispatch(effects);
}

void RecordedEntry::Tick(std::chrono::milliseconds after) {
  now_ += after;
  const auto effects = core_.Tick(now_);
  recorder_.OnTick(effects, now_);
  RememberLastDispatch(effects);
}

void RecordedEntry::RememberLastDispatch(
    const std::vector<EntryEffect>& effects) {
  for (const EntryEffect& effect : effects) {
    const auto* send = std::get_if<SendToAgent>(&effect);
    if (send == nullptr) continue;
    const auto* dispatch = std::get_if<Dispatch>(&send->message);
    if (dispatch == nullptr) continue;
    dispatch_agent_ = send->agent;
    last_dispatch_ = *dispatch;
  }
}

void RecordedEntry::ApplyConfiguration(Revision revision) {
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

void RecordedEntry::ConnectAgent(const ProcessId& agent) {
  Input(AgentConnected{agent});
  ServerReport report;
  report.server = ServerId("server-" + agent.value());
  report.incarnation = 1;
  report.zone = ZoneId("z1");
  report.services = {ServiceId("model"), ServiceId("ledger")};
  report.serving = true;
  report.memory_tokens = 100000;
  SendAgentMessage(agent, report);
}

void RecordedEntry::SendStreamRequest(const std::string& request) {
  CallerRequest call = MakeCall(request, "model");
  call.target = "/v1/completions";
  call.stream = true;
  call.prompt_tokens = 6;
  Input(call);
}

void RecordedEntry::SendSaleRequest(const std::string& request) {
  CallerRequest call = MakeCall(request, "ledger");
  call.kind = RequestKind::kPlainCall;
  call.target = "/sales";
  call.idempotency_key = "sale-1";
  Input(call);
}

void RecordedEntry::SendAgentMessage(const ProcessId& agent,
                                     AgentToEntry message) {
  Input(AgentMessage{agent, std::move(message)});
}

void RecordedEntry::SendTokenOfGeneration(Generation generation,
                                          std::uint32_t index) {
  SendAgentMessage(dispatch_agent_,
                   TokenFrame{last_dispatch_.request, generation, index,
                              " g" + std::to_string(generation) + "t" +
                                  std::to_string(index)});
}

void RecordedEntry::SendToken(std::uint32_t index) {
  SendTokenOfGeneration(last_dispatch_.generation, index);
}

void RecordedEntry::SendCompleted(std::uint32_t tokens) {
  RequestCompleted completed;
  completed.request = last_dispatch_.request;
  completed.generation = last_dispatch_.generation;
  completed.token_count = tokens;
  completed.finish_reason = "stop";
  SendAgentMessage(dispatch_agent_, completed);
}

void RecordedEntry::SendRefused(Reason reason) {
  SendAgentMessage(
      dispatch_agent_,
      RequestRefused{last_dispatch_.request, last_dispatch_.generation, reason,
                     std::chrono::milliseconds(500)});
}

void RecordedEntry::SendInterrupted(bool resumable) {
  SendAgentMessage(
      dispatch_agent_,
      RequestInterrupted{last_dispatch_.request, last_dispatch_.generation,
                         Reason::kServerLost, resumable});
}

std::string RecordedEntry::Finish() {
  recorder_.Finish();
  return out_.str();
}

}  // namespace coltsfootfork::testing
