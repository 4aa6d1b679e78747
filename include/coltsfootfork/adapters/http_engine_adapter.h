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
  // Where the backend server announces itself. Port 0 lets the kernel choose.
  std::string listen_ip = "127.0.0.1";
  std::uint16_t listen_port = 0;
  std::chrono::milliseconds connect_timeout{2000};
  // A request whose connection carries nothing for so long is interrupted.
  std::chrono::milliseconds idle_timeout{60000};
  // How long the backend server may take for one call to the engine port.
  std::chrono::milliseconds port_timeout{10000};
  std::size_t max_port_body_bytes = 1 << 20;
  std::size_t max_port_connections = 64;
  // The largest answer of a plain service and the largest event of a stream.
  std::size_t max_response_bytes = 8 << 20;
  std::size_t max_event_bytes = 64 << 10;
};

// The agent's side of the engine protocol over HTTP. Every message from the
// backend server reaches the handler; none does before Send() returns.
class HttpEngineAdapter {
 public:
  using MessageHandler = std::function<void(EngineToAgent)>;
  // Gets each fault of the backend server's input.
  using FindingHandler = std::function<void(const Finding&)>;

  // Listens at once; throws boost::system::system_error when it cannot.
  HttpEngineAdapter(boost::asio::io_context& io,
                    const HttpEngineAdapterOptions& options,
                    MessageHandler on_message, FindingHandler on_finding);
  // Closes every connection. The handlers are not called again.
  ~HttpEngineAdapter();
  HttpEngineAdapter(const HttpEngineAdapter&) = delete;
  HttpEngineAdapter& operator=(const HttpEngineAdapter&) = delete;

  // Hands a request, a cancellation or an order to the backend server that
  // announced itself last. After a cancellation the generation sends no more.
  void Send(AgentToEngine message);

  // Where the engine port listens.
  std::string listen_address() const;
  // Requests and orders that wait for an answer.
  std::size_t open_calls() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace coltsfootfork
