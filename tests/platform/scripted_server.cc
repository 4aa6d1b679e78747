#include "platform/scripted_server.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

using boost::asio::ip::tcp;
using boost::system::error_code;

struct ScriptedServer::Connection {
  explicit Connection(tcp::socket accepted_socket)
      : socket(std::move(accepted_socket)) {}
  tcp::socket socket;
  int number = 0;
  std::string received;
  std::string response;
  char buffer[4096];
};

ScriptedServer::ScriptedServer(boost::asio::io_context& io, Script script)
    : acceptor_(io, ParseEndpoint("127.0.0.1:0").value()),
      script_(std::move(script)) {
  Accept();
}

std::string ScriptedServer::address() const {
  return FormatEndpoint(acceptor_.local_endpoint());
}

void ScriptedServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(std::move(socket));
    connection->number = ++connections_;
    Read(connection);
    Accept();
  });
}

void ScriptedServer::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->buffer),
      [this, connection](error_code error, std::size_t size) {
        if (error) {
          ++closed_;
          return;
        }
        connection->received.append(connection->buffer, size);
        if (connection->received.find("\r\n\r\n") == std::string::npos) {
          return Read(connection);
        }
        requests_.push_back(std::exchange(connection->received, {}));
        const ScriptedResponse response =
            script_(requests_.back(), connection->number);
        connection->response = response.bytes;
        error_code ignored;
        boost::asio::write(connection->socket,
                           boost::asio::buffer(connection->response), ignored);
        if (response.reset) {
          connection->socket.set_option(
              boost::asio::socket_base::linger(true, 0), ignored);
        }
        if (response.close || response.reset) {
          connection->socket.close(ignored);
          return;
        }
        Read(connection);
      });
}

}  // namespace coltsfootfork
