#include "shell/fleet/slow_link_proxy.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::chrono::milliseconds kRound{20};
constexpr std::size_t kRoundsPerSecond = 50;
// Bytes that may be in flight, as in the buffers of a router.
constexpr int kBufferBytes = 16 * 1024;

}  // namespace

SlowLinkProxy::SlowLinkProxy(asio::io_context& io, const std::string& target,
                             std::size_t bytes_per_second)
    : io_(io),
      target_(ParseEndpoint(target).value()),
      bytes_per_round_(bytes_per_second / kRoundsPerSecond),
      acceptor_(io, ParseEndpoint("127.0.0.1:0").value()) {
  Accept();
}

std::string SlowLinkProxy::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void SlowLinkProxy::Accept() {
  auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(
      connection->client, [this, connection](error_code error) {
        if (error) return;
        connections_.push_back(connection);
        connection->downstream_bytes.resize(bytes_per_round_);
        connection->target.open(target_.protocol());
        connection->target.set_option(
            asio::socket_base::receive_buffer_size(kBufferBytes));
        connection->target.connect(target_);
        ForwardUpstream(connection);
        ForwardDownstream(connection);
        Accept();
      });
}

void SlowLinkProxy::ForwardUpstream(const ConnectionPtr& connection) {
  connection->client.async_read_some(
      asio::buffer(connection->upstream_bytes),
      [this, connection](error_code error, std::size_t size) {
        error_code ignored;
        if (error) {
          connection->target.close(ignored);
          return;
        }
        asio::write(connection->target,
                    asio::buffer(connection->upstream_bytes, size), ignored);
        ForwardUpstream(connection);
      });
}

void SlowLinkProxy::ForwardDownstream(const ConnectionPtr& connection) {
  connection->timer.expires_after(kRound);
  connection->timer.async_wait([this, connection](error_code) {
    connection->target.async_read_some(
        asio::buffer(connection->downstream_bytes),
        [this, connection](error_code error, std::size_t size) {
          error_code ignored;
          if (error) {
            connection->client.close(ignored);
            return;
          }
          asio::write(connection->client,
                      asio::buffer(connection->downstream_bytes, size),
                      ignored);
          ForwardDownstream(connection);
        });
  });
}

}  // namespace coltsfootfork
