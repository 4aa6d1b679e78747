#include "shell/gateway/connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               const CallProtocol& protocol)
    : io_(io), protocol_(protocol), slots_(std::make_shared<Slots>()) {}

void ConnectionPool::Acquire(const ConnectionRequest& wish, Time now,
                             ServerConnection::Connected connected) {
  auto idle = TakeIdle(wish, now);
  if (idle) return connected(std::move(idle));
  Slot& slot = (*slots_)[wish.server];
  const auto endpoint = ParseEndpoint(wish.address);
  if (!endpoint || slot.open >= wish.limit) {
    return boost::asio::post(
        io_, [connected = std::move(connected)] { connected(nullptr); });
  }
  // Counted from the first packet on, as the server does.
  ++slot.open;
  ServerConnection::Connect(
      io_, *endpoint, protocol_,
      [this, weak = std::weak_ptr<Slots>(slots_), server = wish.server,
       connected =
           std::move(connected)](std::shared_ptr<ServerConnection> connection) {
        if (weak.expired()) return;
        if (connection) {
          Adopt(server, connection);
        } else {
          --(*slots_)[server].open;
        }
        connected(std::move(connection));
      });
}

void ConnectionPool::Drop(const ServerId& server) {
  const auto slot = slots_->find(server);
  if (slot == slots_->end()) return;
  const auto idle = std::exchange(slot->second.idle, {});
  for (const auto& connection : idle) connection->Close();
  if (slot->second.open == 0) slots_->erase(server);
}

std::size_t ConnectionPool::open_connections() const {
  std::size_t open = 0;
  for (const auto& [server, slot] : *slots_) open += slot.open;
  return open;
}

std::shared_ptr<ServerConnection> ConnectionPool::TakeIdle(
    const ConnectionRequest& wish, Time now) {
  const auto slot = slots_->find(wish.server);
  if (slot == slots_->end()) return nullptr;
  auto& idle = slot->second.idle;
  // The one that was used last is the least likely to be closed already.
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    const bool usable = connection->is_open() &&
                        now < connection->idle_until() &&
                        now <= connection->idle_since() + wish.idle_at_most;
    if (usable) return connection;
    connection->Close();
  }
  return nullptr;
}

void ConnectionPool::Adopt(
    const ServerId& server,
    const std::shared_ptr<ServerConnection>& connection) {
  connection->OnIdle(
      [weak = std::weak_ptr<Slots>(slots_), server,
       one = std::weak_ptr<ServerConnection>(connection)](bool open) {
        const auto slots = weak.lock();
        const auto self = one.lock();
        if (!slots) return;
        Slot& slot = (*slots)[server];
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
