#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "standin/engine_server.h"

namespace coltsfootfork::standin {

// Tells the agents who the server is, its load and its cache's changes.
class Announcer {
 public:
  Announcer(boost::asio::io_context& io, EngineServer& server,
            const StandinOptions& options);
  // Announces now and goes on regularly.
  void Announce();

 private:
  void Post(const std::string& target, const nlohmann::json& body);

  boost::asio::io_context& io_;
  EngineServer& server_;
  const StandinOptions options_;
  boost::asio::steady_timer timer_;
  // Loads not yet old enough to be reported, each with its time.
  std::deque<std::pair<Now, nlohmann::json>> loads_;
};

}  // namespace coltsfootfork::standin
