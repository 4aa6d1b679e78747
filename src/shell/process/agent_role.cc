#include "shell/process/agent_role.h"

#include <utility>

#include "coltsfootfork/core/scheduling/inventory_view.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

AgentOptions MakeOptions(const Settings& settings) {
  AgentOptions options;
  options.process = settings.process;
  options.zone = settings.zone;
  return options;
}

HttpEngineAdapterOptions MakeAdapterOptions(const Settings& settings) {
  const auto listen = ParseEndpoint(settings.agent->engine_listen).value();
  HttpEngineAdapterOptions options;
  options.listen_ip = listen.address().to_string();
  options.listen_port = listen.port();
  return options;
}

}  // namespace

AgentRole::AgentRole(ProcessContext& context, std::uint64_t seed)
    : context_(context),
      core_(MakeOptions(context.settings), seed),
      metrics_(context.metrics),
      adapter_(
          context.io, MakeAdapterOptions(context.settings),
          [this](EngineToAgent message) {
            OnEngineMessage(std::move(message));
          },
          [this](const Finding& finding) {
            context_.metrics.Add(Counter::kInputFindings);
            Log(LogLevel::kWarning, Event::kServerFinding,
                {{"place", finding.place}, {"problem", finding.problem}});
          }) {}

void AgentRole::OnEntryConnected(const ProcessId& entry) {
  HandleInput(EntryConnected{entry});
}

void AgentRole::OnEntryDisconnected(const ProcessId& entry) {
  metrics_.OnEntryDisconnected(entry);
  HandleInput(EntryDisconnected{entry});
}

void AgentRole::OnEntryMessage(const ProcessId& entry, EntryToAgent message) {
  const EntryMessage input{entry, std::move(message)};
  metrics_.OnEntryMessage(input, MonotonicNow());
  HandleInput(input);
}

void AgentRole::OnConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  configuration_ = configuration;
  HandleInput(ConfigurationInForce{std::move(configuration)});
  if (server_.server.empty()) return;
  CheckInventory();
  HandleInput(EngineMessage{PermittedServer()});
}

void AgentRole::Tick(Time now) { Execute(core_.Tick(now)); }

void AgentRole::Stop() {
  if (stopping_) return;
  stopping_ = true;
  HandleInput(StopRequested{});
}

void AgentRole::DescribeServer(RenewLease& renewal) const {
  renewal.server = server_.server;
  renewal.services = server_.services;
  renewal.server_incarnation = server_.incarnation;
  renewal.draining = stopping_ || PermittedServer().draining;
}

void AgentRole::OnEngineMessage(EngineToAgent message) {
  if (const auto* announced = std::get_if<EngineAnnouncement>(&message)) {
    OnAnnouncement(*announced);
    message = PermittedServer();
  }
  metrics_.OnEngineMessage(message);
  HandleInput(EngineMessage{std::move(message)});
}

void AgentRole::OnAnnouncement(const EngineAnnouncement& announced) {
  if (announced.server != server_.server ||
      announced.incarnation != server_.incarnation) {
    Log(LogLevel::kInfo, Event::kServerAnnounced,
        {{"server", announced.server.value()},
         {"incarnation", std::to_string(announced.incarnation)}});
  }
  if (announced.draining && !server_.draining) {
    Log(LogLevel::kInfo, Event::kServerDraining,
        {{"server", announced.server.value()}});
  }
  server_ = announced;
  CheckInventory();
}

void AgentRole::CheckInventory() {
  const bool mismatch = PermittedServer().draining && !server_.draining;
  if (mismatch && !mismatch_) {
    Log(LogLevel::kWarning, Event::kInventoryMismatch,
        {{"server", server_.server.value()}});
  }
  mismatch_ = mismatch;
}

EngineAnnouncement AgentRole::PermittedServer() const {
  return configuration_ ? RestrictToInventory(server_, *configuration_)
                        : server_;
}

void AgentRole::HandleInput(const AgentInput& input) {
  Execute(core_.Handle(input, MonotonicNow()));
}

void AgentRole::Execute(const std::vector<AgentEffect>& effects) {
  for (const AgentEffect& effect : effects) {
    std::visit([this](const auto& alternative) { Execute(alternative); },
               effect);
  }
}

void AgentRole::Execute(const SendToEntry& effect) {
  metrics_.OnEffect(effect);
  context_.peer_links.Send(effect.entry, LinkDirection::kIncoming,
                           effect.message);
}

void AgentRole::Execute(const SendToEngine& effect) {
  metrics_.OnEffect(effect, MonotonicNow());
  adapter_.Send(effect.message);
}

void AgentRole::Execute(const OrderCompleted& effect) {
  if (effect.result.applied) return;
  Log(LogLevel::kWarning, Event::kOrderRefused,
      {{"server", server_.server.value()}, {"problem", effect.result.problem}});
}

void AgentRole::Execute(const CountReason& effect) {
  context_.metrics.Count(effect.reason, effect.rank, effect.service);
}

}  // namespace coltsfootfork
