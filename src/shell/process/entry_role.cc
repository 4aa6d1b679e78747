#include "shell/process/entry_role.h"

#include <utility>

#include "coltsfootfork/core/routing/agent_subset.h"
#include "coltsfootfork/core/routing/limit_shares.h"
#include "coltsfootfork/core/stream/stored_generation.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

// Maximum time to wait for the control replicas' reply to a claim.
constexpr std::chrono::milliseconds kClaimTimeout{2500};
// Maximum time to retry reporting the end of a claimed request to the control
// replicas.
constexpr std::chrono::milliseconds kSettleTimeout{60000};
constexpr std::chrono::milliseconds kUnconfirmedRetryAfter{1000};
// Limits the prefix hints of 512 servers to 17 MB of an entry's memory.
constexpr std::size_t kHintBlocksPerServer = 256;
// Smaller growth of a backlog is not reported to the core.
constexpr std::uint64_t kMinBacklogGrowthBytes = 4096;

EntryOptions MakeOptions(const Settings& settings) {
  EntryOptions options;
  options.process = settings.process;
  options.zone = settings.zone;
  options.choice.hint_blocks_per_server = kHintBlocksPerServer;
  return options;
}

}  // namespace

EntryRole::EntryRole(ProcessContext& context, std::uint64_t seed)
    : context_(context),
      core_(MakeOptions(context.settings), seed),
      request_prefix_(context.settings.process.value() + "-" +
                      std::to_string(seed) + "-"),
      server_(context.io, ParseEndpoint(context.settings.entry->listen).value(),
              HttpLimits{},
              [this](const HttpRequest& http,
                     std::shared_ptr<HttpExchange> exchange) {
                OnRequest(http, std::move(exchange));
              }) {
  if (context.settings.record_path.empty()) return;
  trace_ = std::make_unique<TraceFile>(
      context.settings.record_path,
      TraceHeader{MakeOptions(context.settings), seed,
                  context.settings.record_bodies});
}

void EntryRole::OnAgentConnected(const ProcessId& agent) {
  HandleInput(AgentConnected{agent});
}

void EntryRole::OnAgentDisconnected(const ProcessId& agent) {
  HandleInput(AgentDisconnected{agent});
  // A link to an agent outside the subset is kept only while it carries
  // streams.
  if (agents_.count(agent) == 0) context_.peer_links.Disconnect(agent);
}

void EntryRole::OnAgentMessage(const ProcessId& agent, AgentToEntry message) {
  HandleInput(AgentMessage{agent, std::move(message)});
}

void EntryRole::OnConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  HandleInput(ConfigurationInForce{std::move(configuration)});
}

void EntryRole::OnDirectory(const std::vector<DirectoryAgent>& directory) {
  const std::vector<DirectoryAgent> subset = ChooseAgentSubset(
      directory, context_.settings.process, context_.settings.zone);
  agents_.clear();
  for (const DirectoryAgent& agent : subset) {
    agents_.insert(agent.process);
    context_.peer_links.KeepConnected(agent.process, agent.address);
  }
  HandleInput(DirectoryChanged{subset});
}

void EntryRole::OnLimitShares(const RenewLeaseReply& reply) {
  place_ = reply.place;
  const Configuration& configuration =
      context_.synchronizer.rules()->configuration();
  HandleInput(LimitSharesGranted{SharesOfEntry(reply, configuration)});
}

std::vector<WorkspaceDemand> EntryRole::DemandToReport(Time now) const {
  const auto& rules = context_.synchronizer.rules();
  if (!rules) return {};
  return DemandsToReport(core_.Demand(now), rules->configuration(), place_);
}

void EntryRole::Tick(Time now) {
  ReportBacklogs();
  context_.metrics.Set(Gauge::kOpenRequests, core_.open_requests());
  const bool due = core_.NextDeadline() && *core_.NextDeadline() <= now;
  const std::vector<EntryEffect> effects = core_.Tick(now);
  if (trace_ && (due || !effects.empty())) {
    trace_->recorder().OnTick(effects, now);
  }
  Execute(effects);
}

void EntryRole::Stop() {
  if (stopping_) return;
  stopping_ = true;
  HandleInput(StopRequested{});
}

bool EntryRole::Drained() const {
  return core_.Drained() && callers_.empty() && pending_settles_ == 0;
}

void EntryRole::OnRequest(const HttpRequest& http,
                          std::shared_ptr<HttpExchange> exchange) {
  const auto& rules = context_.synchronizer.rules();
  if (!rules) {
    return Refuse(*exchange, Reason::kNotConfigured,
                  "no configuration is in force yet", kUnconfirmedRetryAfter);
  }
  const Workspace* workspace = rules->FindWorkspaceByKey(http.BearerToken());
  if (workspace == nullptr) {
    return Refuse(*exchange, Reason::kUnauthenticated,
                  "the bearer key is no workspace's", {});
  }
  CallerRequestResult result = ParseCallerRequest(http);
  if (!result.parsed) {
    return Refuse(*exchange, Reason::kBadRequest, std::move(result.problem),
                  {});
  }
  result.parsed->request.workspace = workspace->id;
  Admit(std::move(*result.parsed), std::move(exchange));
}

void EntryRole::Admit(ParsedCallerRequest parsed,
                      std::shared_ptr<HttpExchange> exchange) {
  const Time now = MonotonicNow();
  CallerRequest& request = parsed.request;
  const ServingRules& rules = *context_.synchronizer.rules();
  const Service* service = rules.FindService(request.service);
  if (service == nullptr || service->kind != request.kind) {
    return Refuse(*exchange, Reason::kUnknownService,
                  "the inventory has no such service of this kind", {});
  }
  if (const auto reason = context_.synchronizer.RefusalReason(now)) {
    return Refuse(*exchange, *reason, "the configuration is not confirmed",
                  kUnconfirmedRetryAfter);
  }
  request.request = NextRequestId();
  exchange->OnCallerDisconnected([this, id = request.request] {
    callers_.erase(id);
    HandleInput(CallerDisconnected{id});
  });
  callers_.emplace(
      request.request,
      Caller{CallerResponse(std::move(exchange), parsed.format, request.stream,
                            request.request, request.service),
             rules.RankOf(request.workspace, request.service), request.service,
             request.prompt_tokens, now, std::nullopt, 0});
  HandleInput(std::move(request));
}

void EntryRole::Refuse(HttpExchange& exchange, Reason reason,
                       std::string detail,
                       std::chrono::milliseconds retry_after) {
  Execute(CountReason{reason, Rank::kDeferrable, {}});
  exchange.Respond(
      ProblemResponse({reason, true, retry_after, std::move(detail)}));
}

RequestId EntryRole::NextRequestId() {
  return RequestId(request_prefix_ + std::to_string(next_request_++));
}

void EntryRole::HandleInput(const EntryInput& input) {
  const Time now = MonotonicNow();
  const std::vector<EntryEffect> effects = core_.Handle(input, now);
  if (trace_) trace_->recorder().OnInput(input, effects, now);
  Execute(effects);
}

void EntryRole::Execute(const std::vector<EntryEffect>& effects) {
  for (const EntryEffect& effect : effects) {
    std::visit([this](const auto& alternative) { Execute(alternative); },
               effect);
  }
}

void EntryRole::Execute(const SendToAgent& effect) {
  context_.peer_links.Send(effect.agent, LinkDirection::kOutgoing,
                           effect.message);
}

void EntryRole::Execute(const DeliverToken& effect) {
  const auto found = callers_.find(effect.request);
  if (found == callers_.end()) return;
  Caller& caller = found->second;
  const Time now = MonotonicNow();
  if (caller.last_token) {
    context_.metrics.ObserveTokenGap(caller.rank, caller.service,
                                     now - *caller.last_token);
  } else {
    context_.metrics.ObserveFirstToken(caller.rank, caller.service,
                                       now - caller.arrived);
  }
  caller.last_token = now;
  caller.response.WriteToken(effect.text);
}

void EntryRole::Execute(const DeliverEnd& effect) {
  auto node = callers_.extract(effect.request);
  if (node.empty()) return;
  Caller& caller = node.mapped();
  caller.response.FinishGeneration(effect.finish_reason, caller.prompt_tokens,
                                   effect.token_count);
}

void EntryRole::Execute(const DeliverResponse& effect) {
  auto node = callers_.extract(effect.request);
  if (node.empty()) return;
  Caller& caller = node.mapped();
  const auto generation = UnpackGeneration(effect.answer);
  if (!generation) return caller.response.WriteStoredResponse(effect.answer);
  caller.response.WriteToken(generation->text);
  caller.response.FinishGeneration(
      generation->finish_reason, caller.prompt_tokens, generation->token_count);
}

void EntryRole::Execute(const DeliverProblem& effect) {
  auto node = callers_.extract(effect.request);
  if (node.empty()) return;
  Caller& caller = node.mapped();
  Log(LogLevel::kDebug,
      caller.response.tokens() > 0 ? Event::kRequestIncomplete
                                   : Event::kRequestRefused,
      {{"request", effect.request.value()},
       {"reason", std::string(ReasonName(effect.reason))}});
  caller.response.WriteProblem(
      {effect.reason, effect.not_run, effect.retry_after, std::string()});
}

void EntryRole::Execute(const BeginClaim& effect) {
  context_.control.Call(
      effect.claim, kClaimTimeout,
      [this, request = effect.request](std::optional<ControlReply> reply) {
        ClaimBeginReply claim_reply;
        if (reply) {
          if (const auto* begun = std::get_if<ClaimBeginReply>(&*reply)) {
            claim_reply = *begun;
          }
        }
        HandleInput(ClaimReplied{request, std::move(claim_reply)});
      },
      MonotonicNow());
}

void EntryRole::Execute(const SettleClaim& effect) {
  ++pending_settles_;
  context_.control.Call(
      effect.claim, kSettleTimeout,
      [this](const std::optional<ControlReply>&) { --pending_settles_; },
      MonotonicNow());
}

void EntryRole::Execute(const CountReason& effect) {
  context_.metrics.Count(effect.reason, effect.rank, effect.service);
}

void EntryRole::ReportBacklogs() {
  // Collects the changes first, since the core's effects may remove callers.
  std::vector<CallerBacklog> changed;
  for (auto& [request, caller] : callers_) {
    const std::uint64_t backlog = caller.response.backlog_bytes();
    const std::uint64_t before = caller.reported_backlog;
    // Every decrease is reported: it shows that the caller still reads.
    const bool shrunk = backlog < before;
    const bool grown = backlog >= before + kMinBacklogGrowthBytes;
    if (!shrunk && !grown) continue;
    caller.reported_backlog = backlog;
    changed.push_back({request, backlog});
  }
  for (const CallerBacklog& backlog : changed) HandleInput(backlog);
}

}  // namespace coltsfootfork
