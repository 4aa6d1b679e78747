#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>
#include <utility>

#include "standin/engine_server.h"

namespace coltsfootfork::standin {

// One connection: calls one after the other, or one stream.
class EngineSession : public std::enable_shared_from_this<EngineSession> {
 public:
  EngineSession(EngineServer& server, boost::asio::ip::tcp::socket socket);
  ~EngineSession();
  void Read();

 private:
  void Handle();
  void Stream();
  void Reply(const Answer& answer);
  // Adds to the stream; what comes while it is held back waits.
  void Push(const std::string& event, bool last);
  void Write();
  void WatchLink();

  EngineServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer late_;
  boost::beast::flat_buffer buffer_;
  HttpRequest request_;
  std::pair<std::string, std::uint32_t> started_;
  std::string pending_;
  std::string writing_;
  bool held_back_ = true;
  bool last_ = false;
  char watched_ = 0;
};

}  // namespace coltsfootfork::standin
