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
  auto idle = AcquireIdle(request, now);
  if (idle) return on_connected(std::move(idle));
  ServerPool& slot = (*pools_)[request.server];
  const auto endpoint = ParseEndpoint(request.address);
  if (!endpoint || slot.open >= request.limit) {
    return boost::asio::post(io_, [on_connected = std::move(on_connected)] {
      on_connected(nullptr);
    });
  }
  // Counted from the first packet on, as the server does.
  ++slot.open;
  ServerConnection::Connect(
      io_, *endpoint, protocol_,
      [this, weak = std::weak_ptr<ServerPools>(pools_), server = request.server,
       on_connected = std::move(on_connected)](
          std::shared_ptr<ServerConnection> connection) {
        if (weak.expired()) return;
        if (connection) {
          Track(server, connection);
        } else {
          --(*pools_)[server].open;
        }
        on_connected(std::move(connection));
      });
}

void ConnectionPool::CloseIdle(const ServerId& server) {
  const auto slot = pools_->find(server);
  if (slot == pools_->end()) return;
  const auto idle = std::exchange(slot->second.idle, {});
  for (const auto& connection : idle) connection->Close();
  if (slot->second.open == 0) pools_->erase(server);
}

std::size_t ConnectionPool::open_connections() const {
  std::size_t open = 0;
  for (const auto& [server, slot] : *pools_) open += slot.open;
  return open;
}

std::shared_ptr<ServerConnection> ConnectionPool::AcquireIdle(
    const ConnectionRequest& request, Time now) {
  const auto slot = pools_->find(request.server);
  if (slot == pools_->end()) return nullptr;
  auto& idle = slot->second.idle;
  // The one that was used last is the least likely to be closed already.
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
  connection->OnIdleOrClosed(
      [weak = std::weak_ptr<ServerPools>(pools_), server,
       one = std::weak_ptr<ServerConnection>(connection)](bool open) {
        const auto slots = weak.lock();
        const auto self = one.lock();
        if (!slots) return;
        ServerPool& slot = (*slots)[server];
        if (open && self) {
          slot.idle.push_back(self);
          return;
        }
        slot.open -= std::min<std::uint32_t>(slot.open, 1);
        slot.idle.erase(std::remove(slot.idle.begin(), slot.idle.end(), self),
                        slot.idle.end());
      });
}

}  // namespace coltsfootfork
