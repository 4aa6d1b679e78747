#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace coltsfootfork {

// Sets the options of connections to servers and peers: no delay of small
// writes, and detection of dead peers. The kernel closes the connection when
// sent data is not acknowledged, or keep-alive probes are not answered, for
// three seconds.
void SetLinkOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace coltsfootfork
