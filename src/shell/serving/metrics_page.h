#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Serves the metrics of a process in the Prometheus text format.
class MetricsPage {
 public:
  // Listens on `listen` (IP:PORT), or not at all if `listen` is empty. `text`
  // returns the page. `connections` limits the connections of the process.
  // Throws boost::system::system_error if listening fails.
  MetricsPage(boost::asio::io_context& io, const std::string& listen,
              std::function<std::string()> text,
              std::shared_ptr<ConnectionTable> connections);

 private:
  std::unique_ptr<HttpServer> server_;
};

}  // namespace coltsfootfork
