#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// Parses "IP:PORT" or "[IPv6]:PORT". Host names are not resolved. Returns
// nothing if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

// Returns the endpoint in the format that ParseEndpoint reads.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace coltsfootfork
