#include "shell/gateway/connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               const CallProtocol& protocol)
    : io_(io), protocol_(protocol), pools_(std::make_shared<ServerPools>()) {}

void ConnectionPool::Acquire(const ConnectionRequest& request, Time now,
                             ServerConnection::ConnectHandler on_connected) {
  auto idle_connection = AcquireIdle(request, now);
  if (idle_connection) return on_connected(std::move(idle_connection));
  ServerPool& pool = (*pools_)[request.server];
  const auto endpoint = ParseEndpoint(request.address);
  if (!endpoint || pool.open >= request.max_connections) {
    return boost::asio::post(io_, [on_connected = std::move(on_connected)] {
      on_connected(nullptr);
    });
  }
  // Counted from the connection attempt on, as the server does.
  ++pool.open;
  ServerConnection::Connect(
      io_, *endpoint, protocol_,
      [this, weak_pools = std::weak_ptr<ServerPools>(pools_),
       server = request.server, on_connected = std::move(on_connected)](
          std::shared_ptr<ServerConnection> connection) {
        if (weak_pools.expired()) return;
        if (connection) {
          Track(server, connection);
        } else {
          --(*pools_)[server].open;
        }
        on_connected(std::move(connection));
      });
}

void ConnectionPool::CloseIdle(const ServerId& server) {
  const auto pool = pools_->find(server);
  if (pool == pools_->end()) return;
  const auto idle = std::exchange(pool->second.idle, {});
  for (const auto& connection : idle) connection->Close();
  if (pool->second.open == 0) pools_->erase(server);
}

std::size_t ConnectionPool::open_connections() const {
  std::size_t open = 0;
  for (const auto& [server, pool] : *pools_) open += pool.open;
  return open;
}

std::shared_ptr<ServerConnection> ConnectionPool::AcquireIdle(
    const ConnectionRequest& request, Time now) {
  const auto pool = pools_->find(request.server);
  if (pool == pools_->end()) return nullptr;
  auto& idle = pool->second.idle;
  // The most recently used connection is the least likely to be closed already.
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    const bool usable = connection->is_open() &&
                        now < connection->idle_until() &&
                        now <= connection->idle_since() + request.max_idle_time;
    if (usable) return connection;
    connection->Close();
  }
  return nullptr;
}

void ConnectionPool::Track(
    const ServerId& server,
    const std::shared_ptr<ServerConnection>& connection) {
  connection->OnIdleOrClosed([weak_pools = std::weak_ptr<ServerPools>(pools_),
                              server,
                              weak_connection = std::weak_ptr<ServerConnection>(
                                  connection)](bool open) {
    const auto pools = weak_pools.lock();
    const auto tracked = weak_connection.lock();
    if (!pools) return;
    ServerPool& pool = (*pools)[server];
    if (open && tracked) {
      pool.idle.push_back(tracked);
      return;
    }
    pool.open -= std::min<std::uint32_t>(pool.open, 1);
    pool.idle.erase(std::remove(pool.idle.begin(), pool.idle.end(), tracked),
                    pool.idle.end());
  });
}

}  // namespace coltsfootfork
