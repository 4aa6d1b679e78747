#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
#include "coltsfootfork/core/gateway/precopy_schedule.h"
#include "coltsfootfork/core/gateway/prompt_quarantine.h"
#include "coltsfootfork/core/gateway/response_buffer_budget.h"
#include "coltsfootfork/core/gateway/retry_age_estimator.h"
#include "coltsfootfork/core/gateway/startup_hold.h"
#include "coltsfootfork/core/overload/held_bytes_budget.h"
#include "coltsfootfork/core/overload/server_request_budget.h"
#include "coltsfootfork/core/overload/stream_pacer.h"
#include "shell/clock/monotonic_now.h"
#include "shell/gateway/call_protocol.h"
#include "shell/gateway/connection_pool.h"

namespace coltsfootfork {

class GatewayCall;

struct GatewayOptions {
  LoadBalancerOptions balancer;
  GatewayRetryBudgetOptions budget;
  StartupHoldOptions startup_hold;
  // Whether more urgent calls have precedence; otherwise calls are served in
  // the order of their arrival.
  bool use_ranks = true;
  // Whether streams migrate to another engine when theirs drains.
  bool migrate_streams = true;
  // What is copied between the full transfer of a migrating stream and its
  // stop.
  PrecopyPolicy precopy = SinglePrecopy{};
  // KV checkpoints of running streams are stored on other engines until their
  // memory is filled to this fraction; zero disables checkpoints. A checkpoint
  // uses as much memory as its stream: docs/design/carrying-over.md lists
  // benefits and costs.
  double backup_max_fill = 0;
  // Time from the acknowledgement of an evacuation until no request may reach
  // the zone's servers.
  std::chrono::milliseconds evacuation_bound{5000};
  // Limit for the bytes that the entry holds for callers and servers.
  std::size_t held_bytes_limit = kDefaultHeldBytesLimit;
  // Limit for the bytes of requests that all entries together may have in
  // progress at one server.
  std::size_t server_request_limit = kDefaultServerRequestLimit;
  // How long a stream may stay unread while its caller does not read.
  std::chrono::milliseconds max_read_pause = kDefaultMaxReadPause;
};

// State that the calls of one entry share.
struct GatewayContext {
  GatewayContext(boost::asio::io_context& event_loop,
                 const CallProtocol& call_protocol,
                 GatewayOptions gateway_options, std::uint64_t seed)
      : io(event_loop),
        protocol(call_protocol),
        options(std::move(gateway_options)),
        balancer(options.balancer, seed),
        budget(options.budget),
        pool(event_loop, call_protocol),
        held_bytes(std::make_shared<HeldBytesBudget>(options.held_bytes_limit)),
        server_requests(std::make_shared<ServerRequestBudget>(
            options.server_request_limit)),
        random(seed) {}

  boost::asio::io_context& io;
  const CallProtocol& protocol;
  GatewayOptions options;
  // The plan in force. Shared with the calls that were admitted under it.
  std::shared_ptr<const PlanIndex> plan = std::make_shared<const PlanIndex>();
  LoadBalancer balancer;
  HeadroomAllocator headroom;
  GatewayRetryBudget budget;
  ConnectionPool pool;
  AdmissionQueue admission_queue;
  PromptQuarantine quarantine;
  RetryAgeEstimator retry_age;
  OutputLengthPredictor output_lengths;
  ResponseBufferBudget response_buffers;
  // Shared with the callers' connections.
  std::shared_ptr<HeldBytesBudget> held_bytes;
  std::shared_ptr<ServerRequestBudget> server_requests;
  PauseCollector pauses;
  LatencyCollector latencies;
  GatewayMetrics metrics;
  std::mt19937_64 random;
  // Handles the drain notice that an incarnation of a server sent in a
  // response.
  std::function<void(const ServerId& server, std::uint64_t incarnation)>
      on_drain_notice;
  // When the entry started; calls are held for a while after it.
  Time started_at = MonotonicNow();
  // Calls that are held until the entry has a plan and servers, in order of
  // arrival.
  std::vector<std::weak_ptr<GatewayCall>> held_calls;
  // The calls in `admission_queue`.
  std::map<AdmissionQueue::Ticket, std::weak_ptr<GatewayCall>> queued_calls;
  // Set while the entry shuts down: calls that have not been dispatched and may
  // last longer than this are refused.
  std::optional<Time> shutdown_deadline;
  // Number of entries that share the servers, including this one.
  std::uint32_t entry_count = 1;
};

}  // namespace coltsfootfork
