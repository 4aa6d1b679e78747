#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace coltsfootfork {

// For connections to servers and peers: no delay of small writes, and an end
// for a connection whose other side has fallen silent: what was sent is not
// acknowledged, or keep-alive probes are not answered, for three seconds.
void SetLinkOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace coltsfootfork
