#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

struct HttpEngineAdapterOptions {
  // Listening address of the engine port, to which the backend server announces
  // itself. With port 0 the kernel chooses the port.
  std::string listen_ip = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::chrono::milliseconds connect_timeout{2000};
  // A request is interrupted if its connection transfers no data for this time.
  std::chrono::milliseconds idle_timeout{60000};
  // Maximum duration of one call of the backend server to the engine port.
  std::chrono::milliseconds port_timeout{10000};
  std::size_t max_port_body_bytes = 1 << 20;
  std::size_t max_port_connections = 64;
  // Maximum size of the response to a plain call and of one event of a stream.
  std::size_t max_response_bytes = 8 << 20;
  std::size_t max_event_bytes = 64 << 10;
};

// The agent's side of the engine protocol over HTTP. Every message from the
// backend server is passed to the message handler, which is never called from
// within Send().
class HttpEngineAdapter {
 public:
  using MessageHandler = std::function<void(EngineToAgent)>;
  // Receives each error in the input from the backend server.
  using FindingHandler = std::function<void(const Finding&)>;

  // Starts listening; throws boost::system::system_error on failure.
  HttpEngineAdapter(boost::asio::io_context& io,
                    const HttpEngineAdapterOptions& options,
                    MessageHandler on_message, FindingHandler on_finding);
  // Closes every connection. The handlers are not called again.
  ~HttpEngineAdapter();
  HttpEngineAdapter(const HttpEngineAdapter&) = delete;
  HttpEngineAdapter& operator=(const HttpEngineAdapter&) = delete;

  // Sends a request, a cancellation or an order to the backend server that
  // announced itself last. After a cancellation, no further message of that
  // generation is passed to the handler.
  void Send(AgentToEngine message);

  // The listening address of the engine port.
  std::string listen_address() const;
  // Number of requests, cancellations and orders without a complete response.
  std::size_t open_calls() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace coltsfootfork
