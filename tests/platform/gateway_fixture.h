#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "platform_calls.h"
#include "shell/gateway/gateway.h"
#include "shell/net/http_client.h"
#include "shell/net/http_server.h"

namespace coltsfootfork {

// A gateway with a listener for callers, in front of stand-ins, in one event
// loop.
struct GatewayFixture {
  explicit GatewayFixture(GatewayOptions options = {});

  // Takes a server into the directory, or changes its state.
  void Announce(const std::string& id, const std::string& address,
                const std::string& service,
                ServerState state = ServerState::kReady);
  // The routes "/talk/" (streaming, one attempt), "/verdict/" (resumable, two),
  // "/sale/" (not idempotent, one), "/order/" (not idempotent, two), "/stock/"
  // (idempotent, two) and "/open/" (public), for the key "key".
  void SetPlan(int timeout_ms = 20000);

  HttpRequest Request(const std::string& path, const std::string& id) const;
  HttpRequest StreamRequest(const std::string& path,
                            const std::string& id) const;
  // The whole answer; nothing where it did not come whole.
  std::optional<HttpResponse> Fetch(const HttpRequest& request);
  void RunUntil(const std::function<bool()>& condition);
  // Starts a fetch; `done` is set with its end.
  std::shared_ptr<std::optional<HttpFetchResult>> Start(
      const HttpRequest& request);

  boost::asio::io_context io{1};
  platform::PlatformCalls protocol;
  ServerDirectory directory;
  Gateway gateway;
  HttpServer callers;
  std::uint64_t sequence = 0;
};

// The value of the field, in any case; empty without one.
std::string FieldOf(const HttpResponse& response, const std::string& name);

// The numbers of a stream's events, in order.
std::vector<int> EventIds(const std::string& body);

}  // namespace coltsfootfork
