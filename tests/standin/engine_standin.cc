#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <functional>
#include <iostream>

#include "standin/announcer.h"
#include "standin/engine_server.h"
#include "standin/standin_options.h"

namespace {

namespace asio = boost::asio;
namespace standin = coltsfootfork::standin;

constexpr std::chrono::milliseconds kDrainCheck{50};
// Agents hear of the leaving before the port closes.
constexpr std::chrono::milliseconds kLeaveNotice{1000};

}  // namespace

int main(int argc, char** argv) {
  const standin::StandinOptions options = standin::ParseOptions(argc, argv);
  asio::io_context io(1);
  standin::EngineServer server(io, options);
  standin::Announcer announcer(io, server, options);
  std::cout << nlohmann::json{{"server", options.server},
                              {"address", server.address()}}
            << std::endl;
  announcer.Announce();

  asio::signal_set signals(io, SIGTERM, SIGINT);
  asio::steady_timer drain(io);
  std::function<void()> check = [&] {
    if (server.drained()) return io.stop();
    drain.expires_after(kDrainCheck);
    drain.async_wait([&](boost::system::error_code) { check(); });
  };
  signals.async_wait([&](boost::system::error_code, int) {
    server.Leave();
    announcer.Announce();
    drain.expires_after(kLeaveNotice);
    drain.async_wait([&](boost::system::error_code) { check(); });
  });
  io.run();
  return 0;
}
