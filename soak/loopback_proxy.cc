#include "soak/loopback_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// The interval at which stalled bytes check whether the stall has ended.
constexpr std::chrono::milliseconds kStallPollInterval{10};

void Reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// A client connection and the corresponding connection to the target.
class LoopbackProxy::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::io_context& io, tcp::socket caller,
             std::shared_ptr<State> state)
      : state_(std::move(state)),
        client_side_{std::move(caller), boost::asio::steady_timer(io), {}},
        target_side_{tcp::socket(io), boost::asio::steady_timer(io), {}} {}

  void Start(const Endpoint& target) {
    target_side_.socket.async_connect(
        target, [self = shared_from_this()](error_code error) {
          if (error) return self->End();
          self->Pump(self->client_side_, self->target_side_,
                     &State::stalled_to_target);
          self->Pump(self->target_side_, self->client_side_,
                     &State::stalled_from_target);
        });
  }
  void End() {
    Reset(client_side_.socket);
    Reset(target_side_.socket);
  }

 private:
  // A socket and the bytes read from it.
  struct Side {
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::array<char, 16384> bytes;
  };

  void Pump(Side& from, Side& to, bool State::*stalled) {
    from.socket.async_read_some(boost::asio::buffer(from.bytes),
                                [self = shared_from_this(), &from, &to,
                                 stalled](error_code error, std::size_t size) {
                                  if (!error) {
                                    return self->ForwardWhenReleased(
                                        from, to, stalled, size, self->Delay());
                                  }
                                  if (error != boost::asio::error::eof) {
                                    return self->End();
                                  }
                                  error_code ignored;
                                  to.socket.shutdown(tcp::socket::shutdown_send,
                                                     ignored);
                                });
  }
  std::chrono::milliseconds Delay() const { return state_->delay; }
  void ForwardWhenReleased(Side& from, Side& to, bool State::*stalled,
                           std::size_t size, std::chrono::milliseconds delay) {
    const bool held = *state_.*stalled;
    if (!held && delay.count() == 0) return Write(from, to, stalled, size);
    from.timer.expires_after(held ? kStallPollInterval : delay);
    from.timer.async_wait([self = shared_from_this(), &from, &to, stalled,
                           size](error_code error) {
      using std::chrono::milliseconds;
      if (!error) {
        self->ForwardWhenReleased(from, to, stalled, size, milliseconds(0));
      }
    });
  }
  void Write(Side& from, Side& to, bool State::*stalled, std::size_t size) {
    boost::asio::async_write(to.socket, boost::asio::buffer(from.bytes, size),
                             [self = shared_from_this(), &from, &to, stalled](
                                 error_code error, std::size_t) {
                               if (error) return self->End();
                               self->Pump(from, to, stalled);
                             });
  }

  std::shared_ptr<State> state_;
  Side client_side_;
  Side target_side_;
};

LoopbackProxy::LoopbackProxy(boost::asio::io_context& io,
                             const Endpoint& listen, Endpoint target)
    : io_(io),
      acceptor_(io, listen, /*reuse_addr=*/true),
      target_(std::move(target)) {
  Accept();
}

LoopbackProxy::~LoopbackProxy() { ResetAll(); }

void LoopbackProxy::ResetAll() {
  for (const auto& weak : std::exchange(connections_, {})) {
    const auto connection = weak.lock();
    if (connection) connection->End();
  }
}

void LoopbackProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && !state_->refusing) {
      const auto connection =
          std::make_shared<Connection>(io_, std::move(socket), state_);
      connections_.insert(connection);
      connection->Start(target_);
    } else if (!error) {
      Reset(socket);
    }
    Accept();
  });
}

}  // namespace coltsfootfork
