#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootfork {

// Reaction of a scripted server to one request.
struct ScriptedResponse {
  std::string bytes;
  bool close = false;
  // Closes the connection with a TCP reset.
  bool reset = false;
};

// A server that sends arbitrary bytes as responses, for faults that a correct
// HTTP server cannot produce. Requests have no body, or a short one that
// arrives together with the header.
class ScriptedServer {
 public:
  // Receives the text of the request and the number of its connection, from 1.
  using Script = std::function<ScriptedResponse(const std::string& request,
                                                int connection)>;

  ScriptedServer(boost::asio::io_context& io, Script script);

  std::string address() const;
  int connections() const { return connections_; }
  // Connections that the peer has closed.
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
