#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootfork {

// The endpoint that "IP:PORT" or "[IPV6]:PORT" names, or nothing.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseIpEndpoint(
    std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view ip = address.substr(0, colon);
  const std::string_view digits = address.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto parsed_ip = boost::asio::ip::make_address(std::string(ip), error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(parsed_ip, port);
}

}  // namespace coltsfootfork
