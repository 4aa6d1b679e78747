#include "platform/endless_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kSendBuffer = 32 << 10;

}  // namespace

struct EndlessServer::Connection {
  explicit Connection(tcp::socket accepted_socket)
      : socket(std::move(accepted_socket)), timer(socket.get_executor()) {}
  tcp::socket socket;
  boost::asio::steady_timer timer;
  std::string text;
  EndlessResponse response;
  char buffer[4096];
};

EndlessServer::EndlessServer(boost::asio::io_context& io, Script script)
    : acceptor_(io, ParseEndpoint("127.0.0.1:0").value()),
      script_(std::move(script)) {
  Accept();
}

std::string EndlessServer::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void EndlessServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    ++connections_;
    // With a small send buffer, bytes_sent() is close to the number of bytes
    // that the peer has read.
    error_code ignored;
    socket.set_option(tcp::socket::send_buffer_size(kSendBuffer), ignored);
    Read(std::make_shared<Connection>(std::move(socket)));
    Accept();
  });
}

void EndlessServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->buffer),
      [this, connection](error_code error, std::size_t size) {
        if (error) return;
        connection->text.append(connection->buffer, size);
        if (connection->text.find("\r\n\r\n") == std::string::npos) {
          return Read(connection);
        }
        connection->response = script_(connection->text);
        connection->text = connection->response.initial;
        Write(connection);
      });
}

void EndlessServer::Write(const std::shared_ptr<Connection>& connection) {
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(connection->text),
      [this, connection](error_code error, std::size_t size) {
        if (error) {
          ++closed_;
          return;
        }
        bytes_sent_ += size;
        connection->text = connection->response.repeated;
        connection->timer.expires_after(connection->response.interval);
        connection->timer.async_wait([this, connection](error_code wait_error) {
          if (!wait_error) Write(connection);
        });
      });
}

}  // namespace coltsfootfork
