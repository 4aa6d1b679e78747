#include "shell/serving/entry_gateway.h"

#include <algorithm>
#include <utility>

#include "shell/clock/monotonic_now.h"
#include "shell/log/event.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

// The balancer needs two misses, a second apart, to take an entry out; until
// then it still sends connections.
constexpr milliseconds kStillChosen{3200};
constexpr milliseconds kEndCheck{50};
// Left of the time to stop when calls that still run are given up.
constexpr milliseconds kEndMargin{250};

HttpLimits LimitsOf(const PlanLimits& limits) {
  HttpLimits http;
  http.header_bytes = limits.header_bytes;
  http.body_bytes = limits.body_bytes;
  http.read_timeout = limits.header_timeout;
  http.idle_timeout = limits.idle_timeout;
  return http;
}

GatewayOptions OptionsOf(const ServingSettings& settings) {
  GatewayOptions options;
  options.balancer.zone = settings.zone;
  options.budget.ratio = settings.retry_ratio;
  options.budget.window = settings.retry_window;
  options.balancer.placement = settings.placement;
  options.use_ranks = settings.use_ranks;
  options.migrate_streams = settings.migrate_streams;
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
      gateway_(io, protocol, OptionsOf(settings), seed),
      stop_timer_(io),
      process_(io, settings_path, settings, "entry",
               {[this] { Stop(); },
                [this](const ServingSettings& changed) {
                  follower_->AddSeeds(changed.SeedAddresses());
                }}) {
  FleetFollowerEvents events;
  events.on_plan = [this](const PlanDocument& plan) { OnPlan(plan); };
  events.on_directory = [this](const ServerDirectory& directory) {
    gateway_.ApplyDirectory(directory, MonotonicNow());
  };
  events.on_load = [this](FleetLoad others, FleetDemand demand,
                          std::uint32_t entries) {
    gateway_.SetOtherEntriesUsage(std::move(others), std::move(demand),
                                  MonotonicNow());
    gateway_.SetEntryCount(entries);
  };
  events.own_load = [this] { return gateway_.OwnLoad(); };
  events.own_demand = [this] { return gateway_.OwnDemand(MonotonicNow()); };
  follower_ = std::make_unique<FleetFollower>(
      io,
      FleetFollowerOptions{settings_.process, settings_.SeedAddresses(), seed,
                           settings_.zone},
      std::move(events));
  gateway_.OnDrainNotice(
      [this](const ServerId& server, std::uint64_t incarnation) {
        follower_->OnServerWord(server, incarnation, MonotonicNow());
      });
  callers_ = std::make_unique<HttpServer>(
      io, ParseEndpoint(settings_.callers_listen).value(),
      LimitsOf(gateway_.limits()),
      [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
        gateway_.OnRequest(std::move(request), std::move(exchange));
      });
  ready_ = std::make_unique<HttpServer>(
      io, ParseEndpoint(settings_.ready_listen).value(), HttpLimits(),
      [this](const HttpRequest& /*request*/,
             const std::shared_ptr<HttpExchange>& exchange) {
        OnReady(exchange);
      });
  metrics_ =
      std::make_unique<MetricsPage>(io, settings_.metrics_listen, [this] {
        gateway_.metrics().Set("log_lines_dropped",
                               process_.dropped_log_lines());
        return gateway_.MetricsText();
      });
}

void EntryGateway::OnPlan(const PlanDocument& document) {
  Findings findings;
  auto plan = read_plan_(document.text, findings);
  if (!plan) {
    // Control checks before it commits: this is a newer form of document.
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
  callers_->SetLimits(LimitsOf(gateway_.limits()));
}

bool EntryGateway::IsReady() const {
  return !stopping_ && gateway_.plan_version() > 0 && follower_->has_synced();
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

void EntryGateway::Stop() {
  const Time now = MonotonicNow();
  stopping_ = true;
  callers_->EndKeepAlive();
  gateway_.BeginShutdown();
  const Time end = now + settings_.shutdown_timeout - kEndMargin;
  stop_timer_.expires_after(
      std::min<Duration>(kStillChosen, settings_.shutdown_timeout / 2));
  stop_timer_.async_wait([this, end](boost::system::error_code error) {
    if (error) return;
    callers_->Stop();
    AwaitEnd(end);
  });
}

void EntryGateway::AwaitEnd(Time end) {
  const bool idle =
      gateway_.open_calls() == 0 && callers_->open_connections() == 0;
  if (idle || MonotonicNow() >= end) process_.Exit();
  stop_timer_.expires_after(kEndCheck);
  stop_timer_.async_wait([this, end](boost::system::error_code error) {
    if (!error) AwaitEnd(end);
  });
}

}  // namespace coltsfootfork
