#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/gateway/routing_plan.h"
#include "shell/fleet/control_subscriber.h"
#include "shell/gateway/gateway.h"
#include "shell/net/connection_table.h"
#include "shell/net/http_server.h"
#include "shell/serving/metrics_page.h"
#include "shell/serving/serving_process.h"
#include "shell/serving/serving_settings.h"

namespace coltsfootfork {

// Decodes an operator's plan document. Returns null and adds to `findings` if
// the document is invalid.
using PlanReader = std::function<std::shared_ptr<const RoutingPlan>(
    const std::string& text, Findings& findings)>;

// An entry process: serves callers, receives the routing plan and the directory
// of backend servers from control, and reports its readiness to the load
// balancer in front of the entries.
class EntryGateway {
 public:
  EntryGateway(boost::asio::io_context& io, const std::string& settings_path,
               const ServingSettings& settings, const CallProtocol& protocol,
               PlanReader read_plan, std::uint64_t seed);

 private:
  void OnPlan(const PlanDocument& document);
  void OnReady(const std::shared_ptr<HttpExchange>& exchange);
  // Reports not ready, refuses calls that the exit could cut off, stops
  // accepting connections once the load balancer has removed this entry, and
  // exits when no call is in flight and all connections are closed, at the
  // latest shortly before the shutdown timeout.
  void BeginShutdown();
  bool IsReady() const;

  ServingSettings settings_;
  PlanReader read_plan_;
  Gateway gateway_;
  std::unique_ptr<ControlSubscriber> control_subscriber_;
  std::shared_ptr<ConnectionTable> connections_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<MetricsPage> metrics_page_;
  boost::asio::steady_timer shutdown_timer_;
  bool shutting_down_ = false;
  bool was_ready_ = false;
  // Must be the last member: its constructor logs the start of the process, and
  // its events use the other members.
  ServingProcess process_;
};

}  // namespace coltsfootfork
