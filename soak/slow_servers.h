#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Exceeds what sockets buffer and what an entry with 88 MB may hold for one
// stream, which is 2.4 MiB, so that the entry must pause the stream.
inline constexpr std::size_t kBulkStreamBytes = 12U << 20U;
// Below the 1 MiB that an entry takes as one response.
inline constexpr std::size_t kBulkResponseBytes = 900U << 10U;

// A backend server with large streams and large responses, which it writes as
// fast as they are read.
class BulkServer {
 public:
  explicit BulkServer(boost::asio::io_context& io);

  std::string address() const;

 private:
  HttpServer server_;
};

// A backend server that reads requests slowly.
class SlowReadingServer {
 public:
  // Starts to listen. Throws boost::system::system_error on failure.
  explicit SlowReadingServer(boost::asio::io_context& io);
  ~SlowReadingServer();
  SlowReadingServer(const SlowReadingServer&) = delete;
  SlowReadingServer& operator=(const SlowReadingServer&) = delete;

  std::string address() const;
  // The number of times that each call was received completely.
  const std::map<std::string, int>& runs_by_call() const { return *runs_; }

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<std::map<std::string, int>> runs_ =
      std::make_shared<std::map<std::string, int>>();
};

}  // namespace coltsfootfork
