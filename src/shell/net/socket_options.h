#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace coltsfootfork {

// Sets the options of connections to servers and peers: no delay of small
// writes, and detection of dead peers. The kernel closes the connection when
// sent data is not acknowledged, or keep-alive probes are not answered, for
// three seconds.
void SetLinkOptions(boost::asio::ip::tcp::socket& socket);

// Limits the bytes that the kernel buffers before it sends them, so that the
// application still decides on the order of messages on a slow connection.
void LimitUnsentBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace coltsfootfork
