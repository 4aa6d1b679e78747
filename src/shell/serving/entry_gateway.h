#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/gateway/routing_plan.h"
#include "shell/fleet/control_subscriber.h"
#include "shell/gateway/gateway.h"
#include "shell/net/http_server.h"
#include "shell/serving/metrics_page.h"
#include "shell/serving/serving_process.h"
#include "shell/serving/serving_settings.h"

namespace coltsfootfork {

// Reads an operator's document; nothing where there are findings.
using PlanReader = std::function<std::shared_ptr<const RoutingPlan>(
    const std::string& text, Findings& findings)>;

// An entry: takes callers' connections, follows control for the plan and the
// servers, and tells the balancer whether it is ready.
class EntryGateway {
 public:
  EntryGateway(boost::asio::io_context& io, const std::string& settings_path,
               const ServingSettings& settings, const CallProtocol& protocol,
               PlanReader read_plan, std::uint64_t seed);

 private:
  void OnPlan(const PlanDocument& document);
  void OnReady(const std::shared_ptr<HttpExchange>& exchange);
  void Stop();
  void AwaitEnd(Time end);
  bool IsReady() const;

  ServingSettings settings_;
  PlanReader read_plan_;
  Gateway gateway_;
  std::unique_ptr<ControlSubscriber> control_subscriber_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> ready_;
  std::unique_ptr<MetricsPage> metrics_;
  boost::asio::steady_timer stop_timer_;
  bool stopping_ = false;
  bool was_ready_ = false;
  // Last: it logs the start, and its events reach all the others.
  ServingProcess process_;
};

}  // namespace coltsfootfork
