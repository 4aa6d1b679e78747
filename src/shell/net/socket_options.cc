#include "shell/net/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace coltsfootfork {
namespace {

namespace asio = boost::asio;

template <int kName>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

constexpr int kUserTimeoutMs = 3000;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;
constexpr int kMaxUnsentBytes = 16 * 1024;

}  // namespace

void SetLinkOptions(asio::ip::tcp::socket& socket) {
  // Errors are ignored: without these options the connection still works, but a
  // dead peer is detected later.
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMs), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds),
                    ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbeCount), ignored);
}

void LimitUnsentBytes(asio::ip::tcp::socket& socket) {
  // Errors are ignored: without this option messages only wait longer behind
  // bytes that the system has buffered.
  boost::system::error_code ignored;
  socket.set_option(TcpOption<TCP_NOTSENT_LOWAT>(kMaxUnsentBytes), ignored);
}

}  // namespace coltsfootfork
