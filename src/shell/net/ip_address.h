#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Reads "IP:PORT" or "[IPv6]:PORT". Names are not resolved. Nothing where the
// text is not of that form.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// The form that ParseEndpoint reads.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace coltsfootfork
