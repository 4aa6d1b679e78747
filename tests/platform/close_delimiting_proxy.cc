#include "platform/close_delimiting_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "shell/net/ip_address.h"
#include "shell/net/message_parser.h"

namespace coltsfootfork {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct CloseDelimitingProxy::Relay {
  Relay(tcp::socket accepted_socket, boost::asio::io_context& io)
      : caller(std::move(accepted_socket)), server(io), close_timer(io) {}

  void Close() {
    error_code ignored;
    caller.close(ignored);
    server.close(ignored);
  }

  tcp::socket caller;
  tcp::socket server;
  boost::asio::steady_timer close_timer;
  std::array<char, 4096> request_bytes{};
  std::array<char, 4096> response_bytes{};
  std::string unparsed;
  ResponseParser parser;
  bool head_sent = false;
};

CloseDelimitingProxy::CloseDelimitingProxy(boost::asio::io_context& io,
                                           std::string server)
    : io_(io),
      acceptor_(io, ParseEndpoint("127.0.0.1:0").value()),
      server_(std::move(server)) {
  Accept();
}

std::string CloseDelimitingProxy::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void CloseDelimitingProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    const auto relay = std::make_shared<Relay>(std::move(socket), io_);
    relay->server.connect(ParseEndpoint(server_).value());
    ReadRequest(relay);
    ReadResponse(relay);
    Accept();
  });
}

void CloseDelimitingProxy::ReadRequest(const std::shared_ptr<Relay>& relay) {
  relay->caller.async_read_some(
      boost::asio::buffer(relay->request_bytes),
      [this, relay](error_code error, std::size_t size) {
        if (error) return relay->Close();
        boost::asio::write(
            relay->server,
            boost::asio::buffer(relay->request_bytes.data(), size), error);
        ReadRequest(relay);
      });
}

void CloseDelimitingProxy::ReadResponse(const std::shared_ptr<Relay>& relay) {
  relay->server.async_read_some(
      boost::asio::buffer(relay->response_bytes),
      [this, relay](error_code error, std::size_t size) {
        relay->unparsed.append(relay->response_bytes.data(), size);
        if (!ForwardResponse(*relay)) return relay->Close();
        if (!error) return ReadResponse(relay);
        boost::asio::write(relay->caller, boost::asio::buffer(last_bytes_),
                           error);
        relay->close_timer.expires_after(close_delay_);
        relay->close_timer.async_wait([relay](error_code) { relay->Close(); });
      });
}

bool CloseDelimitingProxy::ForwardResponse(Relay& relay) {
  error_code error;
  while (!relay.unparsed.empty()) {
    const std::size_t consumed =
        relay.parser.put(boost::asio::buffer(relay.unparsed), error);
    relay.unparsed.erase(0, consumed);
    if (consumed == 0) break;
  }
  std::string bytes;
  if (relay.parser.is_header_done() && !std::exchange(relay.head_sent, true)) {
    const HttpResponse& head = relay.parser.head();
    bytes = "HTTP/1.1 " + std::to_string(head.status) + " X\r\n";
    if (!head.content_type.empty()) {
      bytes += "Content-Type: " + head.content_type + "\r\n";
    }
    for (const HttpField& field : head.fields) {
      const bool delimits =
          boost::beast::iequals(field.name, "Content-Length") ||
          boost::beast::iequals(field.name, "Transfer-Encoding") ||
          boost::beast::iequals(field.name, "Connection");
      if (!delimits) bytes += field.name + ": " + field.value + "\r\n";
    }
    bytes += "Connection: close\r\n\r\n";
  }
  bytes += relay.parser.TakeBody();
  boost::asio::write(relay.caller, boost::asio::buffer(bytes), error);
  return !relay.parser.is_done();
}

}  // namespace coltsfootfork
