#include "shell/fleet/frame_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;

// A control process sends to all links in a loop over their table and removes a
// link in on_disconnected, which must therefore not be called from within Send.
BOOST_AUTO_TEST_CASE(APeerThatDoesNotReadIsDisconnectedAfterSendReturns) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, ParseEndpoint("127.0.0.1:0").value());
  bool connected = false;
  bool disconnected = false;
  FrameLink::Events events;
  events.on_connected = [&] { connected = true; };
  events.on_frame = [](const std::string&) {};
  events.on_disconnected = [&] { disconnected = true; };
  const auto link =
      FrameLink::Connect(io, acceptor.local_endpoint(), std::move(events));
  const tcp::socket unread_socket = acceptor.accept();
  while (!connected) BOOST_REQUIRE(io.run_one() > 0);
  const std::string frame(8U << 20U, 'x');
  for (int i = 0; i < 8; ++i) link->Send(frame);
  BOOST_TEST(!disconnected);
  while (!disconnected) BOOST_REQUIRE(io.run_one() > 0);
}

// Guards against a frame that ends the process.
BOOST_AUTO_TEST_CASE(ExceptionOfTheHandlerClosesTheLink) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, ParseEndpoint("127.0.0.1:0").value());
  bool disconnected = false;
  FrameLink::Events events;
  events.on_frame = [](const std::string&) {
    throw std::length_error("too long");
  };
  events.on_disconnected = [&] { disconnected = true; };
  const auto link =
      FrameLink::Connect(io, acceptor.local_endpoint(), std::move(events));
  const auto peer = FrameLink::Accept(io, acceptor.accept(), {});
  peer->Send("frame");
  while (!disconnected) BOOST_REQUIRE(io.run_one() > 0);
  peer->Close();
}

}  // namespace
}  // namespace coltsfootfork
