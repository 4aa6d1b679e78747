#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootfork {

// What a scripted server does after it has read a request.
struct ScriptedResponse {
  std::string bytes;
  bool close = false;
  // Closes without a goodbye, so that the other side sees a reset.
  bool reset = false;
};

// A server that answers requests with any bytes whatever, for the faults that a
// proper HTTP server cannot be made to commit. Requests have no bodies, or
// short ones that arrive with the header.
class ScriptedServer {
 public:
  // Gets the request's text and the number of the connection it came on.
  using Script = std::function<ScriptedResponse(const std::string& request,
                                                int connection)>;

  ScriptedServer(boost::asio::io_context& io, Script script);

  std::string address() const;
  int connections() const { return connections_; }
  // Connections that the other side has closed.
  int closed() const { return closed_; }
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);

  boost::asio::ip::tcp::acceptor acceptor_;
  Script script_;
  int connections_ = 0;
  int closed_ = 0;
  std::vector<std::string> requests_;
};

}  // namespace coltsfootfork
