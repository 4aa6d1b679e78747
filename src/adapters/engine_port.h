#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

struct EnginePortLimits {
  std::chrono::milliseconds timeout{0};
  std::size_t max_body_bytes = 0;
  std::size_t max_connections = 0;
};

// The HTTP server to which the backend server announces itself and reports its
// load and cache events.
class EnginePort : public std::enable_shared_from_this<EnginePort> {
 public:
  // Handles the path and the body of one call. If it adds findings, the
  // response has status 400.
  using CallHandler = std::function<void(
      std::string_view target, std::string_view body, Findings* findings)>;

  // Throws boost::system::system_error if listening fails.
  EnginePort(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& listen,
             const EnginePortLimits& limits, CallHandler on_call);

  void Accept();
  void Close();
  std::string address() const;

 private:
  class Session;

  boost::asio::ip::tcp::acceptor acceptor_;
  EnginePortLimits limits_;
  CallHandler on_call_;
  std::size_t connections_ = 0;
};

}  // namespace coltsfootfork
