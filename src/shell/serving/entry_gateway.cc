#include "shell/serving/entry_gateway.h"

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// The load balancer in front of the entries removes an entry after two failed
// readiness checks, one second apart. Until then it sends new connections.
constexpr milliseconds kBalancerDelay{3200};
// The process exits this long before the shutdown timeout, even if calls are
// still in flight.
constexpr milliseconds kExitMargin{250};
// Calls must end, and unanswered ones are ended, this long before the exit, so
// that their responses can be written.
constexpr milliseconds kResponseMargin{250};

HttpLimits MakeHttpLimits(const PlanLimits& limits,
                          const ServingSettings& settings) {
  HttpLimits http;
  http.header_bytes = limits.header_bytes;
  http.body_bytes = limits.body_bytes;
  http.header_timeout = limits.header_timeout;
  http.body_timeout = settings.body_timeout;
  http.idle_timeout = limits.idle_timeout;
  return http;
}

GatewayOptions MakeGatewayOptions(const ServingSettings& settings) {
  GatewayOptions options;
  options.balancer.zone = settings.zone;
  options.balancer.regions = settings.regions;
  options.evacuation_bound = settings.evacuation_bound;
  options.balancer.cold_limit = {settings.cold_overage, settings.cold_slack};
  options.budget.ratio = settings.retry_ratio;
  options.budget.window = settings.retry_window;
  options.balancer.placement = settings.placement;
  options.held_bytes_limit = HeldBytesLimitForHost(settings.memory_bytes);
  options.server_request_limit = settings.server_request_limit;
  options.balancer.performance = settings.performance;
  options.use_ranks = settings.use_ranks;
  options.migrate_streams = settings.migrate_streams;
  options.precopy = settings.precopy;
  options.backup_max_fill = settings.backup_max_fill;
  return options;
}

}  // namespace

EntryGateway::EntryGateway(boost::asio::io_context& io,
                           const std::string& settings_path,
                           const ServingSettings& settings,
                           const CallProtocol& protocol, PlanReader read_plan,
                           std::uint64_t seed)
    : settings_(settings),
      read_plan_(std::move(read_plan)),
      gateway_(io, protocol, MakeGatewayOptions(settings), seed),
      connections_(std::make_shared<ConnectionTable>(
          settings.MakeConnectionLimits(), gateway_.held_bytes())),
      shutdown_timer_(io),
      process_(io, settings_path, settings, "entry",
               {[this] { BeginShutdown(); },
                [this](const ServingSettings& changed) {
                  control_subscriber_->AddSeeds(changed.SeedAddresses());
                }}) {
  ControlSubscriberEvents events;
  events.on_plan = [this](const PlanDocument& plan) { OnPlan(plan); };
  events.on_directory = [this](const ServerDirectory& directory) {
    gateway_.ApplyDirectory(directory, MonotonicNow());
  };
  events.on_evacuations = [this](const EvacuatedZones& evacuated) {
    gateway_.SetEvacuatedZones(evacuated, MonotonicNow());
  };
  events.on_usage = [this](FleetLoad others, FleetDemand demand,
                           std::uint32_t entries) {
    gateway_.SetOtherEntriesUsage(std::move(others), std::move(demand),
                                  MonotonicNow());
    gateway_.SetEntryCount(entries, MonotonicNow());
  };
  events.own_load = [this] { return gateway_.OwnLoad(); };
  events.crash_ledger = [this]() -> const CrashLedger& {
    return gateway_.crash_ledger();
  };
  events.on_crashes = [this](const EncodedCrashes& crashes) {
    gateway_.MergeCrashes(crashes, MonotonicNow());
  };
  if (std::holds_alternative<LearnedPerformance>(settings_.performance)) {
    events.take_performance = [this] { return gateway_.TakePerformance(); };
    events.on_performance = [this](const PerformanceChanges& changes) {
      gateway_.SetPerformance(changes, MonotonicNow());
    };
  }
  events.own_demand = [this] { return gateway_.OwnDemand(MonotonicNow()); };
  control_subscriber_ = std::make_unique<ControlSubscriber>(
      io,
      ControlSubscriberOptions{settings_.process, settings_.SeedAddresses(),
                               seed, settings_.zone, settings_.usage,
                               settings_.has_evacuation_bound},
      std::move(events));
  gateway_.OnDrainNotice(
      [this](const ServerId& server, std::uint64_t incarnation) {
        control_subscriber_->OnDrainNotice(server, incarnation, MonotonicNow());
      });
  caller_server_ = std::make_unique<HttpServer>(
      io, ParseEndpoint(settings_.callers_listen).value(),
      MakeHttpLimits(gateway_.limits(), settings_),
      [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
        gateway_.OnRequest(std::move(request), std::move(exchange));
      },
      connections_);
  ready_server_ = std::make_unique<HttpServer>(
      io, ParseEndpoint(settings_.ready_listen).value(), HttpLimits(),
      [this](const HttpRequest& /*request*/,
             const std::shared_ptr<HttpExchange>& exchange) {
        OnReady(exchange);
      },
      connections_);
  metrics_page_ = std::make_unique<MetricsPage>(
      io, settings_.metrics_listen,
      [this] {
        gateway_.metrics().Set("log_lines_dropped",
                               process_.dropped_log_lines());
        for (const auto& [name, value] : connections_->MetricValues()) {
          gateway_.metrics().Set(name, value);
        }
        return gateway_.MetricsText();
      },
      connections_);
}

void EntryGateway::OnPlan(const PlanDocument& document) {
  Findings findings;
  auto plan = read_plan_(document.text, findings);
  if (!plan) {
    // Control validates plans before it commits them, so this document has a
    // newer format than this process supports.
    Log(LogLevel::kError, Event::kConfigurationRefused,
        {{"version", std::to_string(document.version)},
         {"findings", findings.ToText()}});
    return;
  }
  Log(LogLevel::kInfo, Event::kConfigurationInForce,
      {{"version", std::to_string(plan->version)},
       {"routes", std::to_string(plan->routes.size())},
       {"workspaces", std::to_string(plan->workspaces.size())}});
  gateway_.SetPlan(std::move(plan));
  caller_server_->SetLimits(MakeHttpLimits(gateway_.limits(), settings_));
}

bool EntryGateway::IsReady() const {
  return !shutting_down_ && gateway_.plan_version() > 0 &&
         control_subscriber_->has_synced();
}

void EntryGateway::OnReady(const std::shared_ptr<HttpExchange>& exchange) {
  const bool ready = IsReady();
  if (ready != was_ready_) {
    Log(LogLevel::kInfo, Event::kReadiness,
        {{"ready", ready ? "true" : "false"},
         {"plan", std::to_string(gateway_.plan_version())}});
    was_ready_ = ready;
  }
  exchange->Respond({ready ? 200 : 503, "text/plain", {}, ""});
}

void EntryGateway::BeginShutdown() {
  const Time now = MonotonicNow();
  shutting_down_ = true;
  caller_server_->EndKeepAlive();
  const Time exit_at = now + settings_.shutdown_timeout - kExitMargin;
  const Time end_calls_at = exit_at - kResponseMargin;
  gateway_.BeginShutdown(end_calls_at);
  shutdown_timer_.expires_after(
      std::min<Duration>(kBalancerDelay, settings_.shutdown_timeout / 2));
  shutdown_timer_.async_wait(
      [this, exit_at, end_calls_at](boost::system::error_code error) {
        if (error) return;
        caller_server_->Stop();
        const auto is_idle = [this, end_calls_at] {
          if (MonotonicNow() >= end_calls_at) gateway_.EndUnansweredCalls();
          return gateway_.open_calls() == 0 &&
                 caller_server_->open_connections() == 0;
        };
        process_.ExitWhenIdle(is_idle, exit_at);
      });
}

}  // namespace coltsfootfork
