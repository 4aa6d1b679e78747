#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/server_connection.h"

namespace coltsfootfork {

// What a call asks of a connection.
struct ConnectionRequest {
  ServerId server;
  // IP:PORT.
  std::string address;
  // Connections that this process may hold to the server.
  std::uint32_t limit = 1;
  // The longest time that a reused connection may have been idle: a server may
  // drop idle ones without notice, and what may not run twice is lost with it.
  Duration max_idle_time = std::chrono::hours(1);
};

// The connections to all servers. Idle ones are kept for the next call until
// the server's own time for them is nearly over.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, const CallProtocol& protocol);

  // Hands over an idle connection at once or a new one later; null when the
  // server is not reached or the limit is.
  void Acquire(const ConnectionRequest& request, Time now,
               ServerConnection::ConnectHandler on_connected);

  // Closes the idle connections to the server.
  void CloseIdle(const ServerId& server);

  std::size_t open_connections() const;

 private:
  struct ServerPool {
    std::vector<std::shared_ptr<ServerConnection>> idle;
    std::uint32_t open = 0;
  };
  using ServerPools = std::map<ServerId, ServerPool>;

  std::shared_ptr<ServerConnection> AcquireIdle(
      const ConnectionRequest& request, Time now);
  void Track(const ServerId& server,
             const std::shared_ptr<ServerConnection>& connection);

  boost::asio::io_context& io_;
  const CallProtocol& protocol_;
  // Shared with the connections, which may outlive the pool.
  std::shared_ptr<ServerPools> pools_;
};

}  // namespace coltsfootfork
