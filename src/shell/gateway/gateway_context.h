#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "coltsfootfork/core/gateway/admission_queue.h"
#include "coltsfootfork/core/gateway/gateway_metrics.h"
#include "coltsfootfork/core/gateway/gateway_retry_budget.h"
#include "coltsfootfork/core/gateway/headroom_allocator.h"
#include "coltsfootfork/core/gateway/load_balancer.h"
#include "coltsfootfork/core/gateway/output_length_predictor.h"
#include "coltsfootfork/core/gateway/plan_index.h"
#include "coltsfootfork/core/gateway/response_buffer_budget.h"
#include "coltsfootfork/core/gateway/retry_age_estimator.h"
#include "coltsfootfork/core/gateway/startup_hold.h"
#include "shell/clock/monotonic_now.h"
#include "shell/gateway/call_protocol.h"
#include "shell/gateway/connection_pool.h"

namespace coltsfootfork {

class GatewayCall;

struct GatewayOptions {
  LoadBalancerOptions balancer;
  GatewayRetryBudgetOptions budget;
  StartupHoldOptions startup_hold;
  // Whether urgent calls go first; else all are served as they come.
  bool use_ranks = true;
  // Whether streams are carried over to another engine when theirs leaves.
  bool migrate_streams = true;
  // Copies of running streams are kept on other engines while their memory is
  // filled up to this part; zero keeps none. Copies cost as much memory as the
  // streams: docs/design/carrying-over.md has what they gain and lose.
  double backup_max_fill = 0;
};

// What the calls of one entry share.
struct GatewayContext {
  GatewayContext(boost::asio::io_context& event_loop,
                 const CallProtocol& call_protocol, GatewayOptions given,
                 std::uint64_t seed)
      : io(event_loop),
        protocol(call_protocol),
        options(std::move(given)),
        balancer(options.balancer, seed),
        budget(options.budget),
        pool(event_loop, call_protocol),
        random(seed) {}

  boost::asio::io_context& io;
  const CallProtocol& protocol;
  GatewayOptions options;
  // Shared with the calls that began under it.
  std::shared_ptr<const PlanIndex> plan = std::make_shared<const PlanIndex>();
  LoadBalancer balancer;
  HeadroomAllocator headroom;
  GatewayRetryBudget budget;
  ConnectionPool pool;
  AdmissionQueue admission_queue;
  RetryAgeEstimator retry_age;
  OutputLengthPredictor output_lengths;
  ResponseBufferBudget response_buffers;
  GatewayMetrics metrics;
  std::mt19937_64 random;
  // A server said in an answer that this incarnation of it leaves.
  std::function<void(const ServerId& server, std::uint64_t incarnation)>
      on_leaving;
  // When this process began to serve.
  Time started = MonotonicNow();
  // Calls that are held until the plan and the servers are known, in the order
  // in which they came.
  std::vector<std::weak_ptr<GatewayCall>> held_calls;
  // Who waits in the room.
  std::map<AdmissionQueue::Ticket, std::weak_ptr<GatewayCall>> waiting_calls;
  // The process ends soon: streams that may not run again are for others.
  bool stopping = false;
  // Entries that share the servers, this one included.
  std::uint32_t entries = 1;
};

}  // namespace coltsfootfork
