#include "shell/net/ip_address.h"

#include <charconv>
#include <cstdint>

namespace coltsfootfork {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  if (endpoint.address().is_v6()) return "[" + host + "]:" + port;
  return host + ":" + port;
}

}  // namespace coltsfootfork
