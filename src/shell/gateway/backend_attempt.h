#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/gateway/load_reservation.h"
#include "coltsfootfork/core/overload/server_request_budget.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/gateway_context.h"
#include "shell/gateway/server_connection.h"

namespace coltsfootfork {

// The parameters of an attempt.
struct AttemptPlan {
  ServerId server;
  // IP:PORT.
  std::string address;
  // The server's incarnation in the directory when the attempt was planned.
  std::uint64_t incarnation = 0;
  // The load that the call puts on the server.
  ServerLoad load;
  // The bytes of the request, before the gateway's own header fields.
  std::size_t request_bytes = 0;
  // The server that stores KV checkpoints, and its address; empty if none are
  // made.
  ServerId backup;
  std::string backup_address;
  ConnectionRequest connection_request;
};

// Callbacks from an attempt to its call. None is called after Cancel.
struct AttemptEvents {
  // Returns the bytes of the request. Called when they are about to be sent.
  std::function<std::string()> request;
  // The server could not be reached.
  std::function<void()> on_connect_failed;
  std::function<void(const HttpResponse& head, const ResponseHead& facts)>
      on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(ExchangeEnd end)> on_end;
};

// One attempt to run a call on one server. Reserves the call's load on the
// server, and counts the bytes of its request there, until the attempt ends.
class BackendAttempt : public std::enable_shared_from_this<BackendAttempt> {
 public:
  BackendAttempt(GatewayContext& context, AttemptPlan plan);
  BackendAttempt(const BackendAttempt&) = delete;
  BackendAttempt& operator=(const BackendAttempt&) = delete;

  void Start(RequestId id, Time now, AttemptEvents events);
  // Closes the connection if the exchange is still in flight, so that the
  // server stops the call.
  void Cancel();

  // Pauses or resumes reading the response.
  void SetReadPaused(bool paused) {
    if (connection_) connection_->SetReadPaused(paused);
  }
  // Records that the server has sent the first event.
  void OnPrefillDone(Time now);
  // Reserves more tokens for a call that exceeds its predicted length.
  void AddTokens(std::uint64_t tokens);

  const AttemptPlan& plan() const { return plan_; }
  // Whether the request was passed to a connection.
  bool is_sent() const { return sent_; }

 private:
  void OnConnected(std::shared_ptr<ServerConnection> connection);
  // Handles a back-off request, a rate limit or a drain notice in a response.
  void ProcessServerNotices(const ResponseHead& facts, Time now);
  void ProcessRateLimit(const ResponseHead& facts, Time now);
  void Release();

  GatewayContext& context_;
  AttemptPlan plan_;
  LoadReservation reservation_;
  ServerRequestBytes request_bytes_;
  // Set if KV checkpoints are stored.
  std::optional<LoadReservation> backup_reservation_;
  RequestId id_;
  AttemptEvents events_;
  std::shared_ptr<ServerConnection> connection_;
  bool cancelled_ = false;
  bool sent_ = false;
  Time sent_at_;
  // Set while the prefill is measured.
  std::optional<PrefillMeasurement> prefill_;
};

}  // namespace coltsfootfork
