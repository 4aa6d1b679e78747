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

// The requirements of a call on a connection.
struct ConnectionRequest {
  ServerId server;
  // IP:PORT.
  std::string address;
  // Maximum number of connections of this process to the server.
  std::uint32_t max_connections = 1;
  // Maximum time that a reused connection may have been idle. A server may drop
  // idle connections without notice, and a call that is not safe to retry would
  // be lost with its connection.
  Duration max_idle_time = std::chrono::hours(1);
};

// Pools the connections to all servers. Idle connections are kept for reuse
// until shortly before the server's idle timeout.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, const CallProtocol& protocol);

  // Passes an idle connection to `on_connected` at once, or a new one later.
  // Passes null if the server cannot be reached or has `max_connections`
  // already.
  void Acquire(const ConnectionRequest& request, Time now,
               ServerConnection::ConnectHandler on_connected);

  // Closes the idle connections to the server.
  void CloseIdle(const ServerId& server);

  std::size_t open_connections() const;

 private:
  // The connections to one server.
  struct ServerPool {
    std::vector<std::shared_ptr<ServerConnection>> idle;
    // Number of open connections, both idle and in use.
    std::uint32_t open = 0;
  };
  using ServerPools = std::map<ServerId, ServerPool>;

  std::shared_ptr<ServerConnection> AcquireIdle(
      const ConnectionRequest& request, Time now);
  // Updates the server's pool when the connection becomes idle or is closed.
  void Track(const ServerId& server,
             const std::shared_ptr<ServerConnection>& connection);

  boost::asio::io_context& io_;
  const CallProtocol& protocol_;
  // Shared with the connections' handlers, which may outlive this object.
  std::shared_ptr<ServerPools> pools_;
};

}  // namespace coltsfootfork
