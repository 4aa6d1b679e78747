#include "shell/net/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace coltsfootfork {
namespace {

using boost::asio::ip::tcp;

// One side of a link, with the events it has received.
struct RecordingPeer {
  std::shared_ptr<PeerLink> link;
  std::vector<std::string> peers;
  std::vector<std::string> tokens;
  std::vector<LinkCloseReason> close_reasons;

  PeerEvents Events() {
    PeerEvents events;
    events.on_up = [this](const ProcessId& peer) {
      peers.push_back(peer.value());
    };
    events.on_envelope = [this](const Envelope& envelope) {
      const auto& message = std::get<AgentToEntry>(envelope.payload);
      tokens.push_back(std::get<TokenFrame>(message).text);
    };
    events.on_down = [this](LinkCloseReason reason) {
      close_reasons.push_back(reason);
    };
    return events;
  }
};

struct LinkPair {
  LinkPair(const std::string& accepting_key, const std::string& connecting_key)
      : acceptor(io, tcp::endpoint(tcp::v4(), 0)) {
    acceptor.async_accept([this, accepting_key](boost::system::error_code,
                                                tcp::socket socket) {
      accepting.link =
          PeerLink::Accept(io, std::move(socket),
                           {ProcessId("a"), accepting_key}, accepting.Events());
    });
    connecting.link = PeerLink::Connect(
        io,
        {boost::asio::ip::address_v4::loopback(),
         acceptor.local_endpoint().port()},
        {ProcessId("c"), connecting_key}, connecting.Events());
  }

  void RunUntil(const std::function<bool()>& condition) {
    while (!condition() && io.run_one() > 0) {
    }
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  RecordingPeer accepting;
  RecordingPeer connecting;
};

Envelope Token(const std::string& text) {
  TokenFrame frame;
  frame.text = text;
  return {1, AgentToEntry(frame)};
}

BOOST_AUTO_TEST_CASE(PeersThatShareTheKeyExchangeFramesInOrder) {
  LinkPair pair("the fleet's key", "the fleet's key");
  pair.RunUntil([&] {
    return !pair.accepting.peers.empty() && !pair.connecting.peers.empty();
  });
  BOOST_TEST(pair.accepting.peers.front() == "c");
  BOOST_TEST(pair.connecting.peers.front() == "a");
  constexpr int kFrames = 500;
  for (int i = 0; i < kFrames; ++i) {
    pair.accepting.link->Send(Token(std::to_string(i)));
  }
  pair.RunUntil([&] { return pair.connecting.tokens.size() == kFrames; });
  for (int i = 0; i < kFrames; ++i) {
    BOOST_TEST(pair.connecting.tokens.at(static_cast<std::size_t>(i)) ==
               std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(PeerWithAnotherKeyIsRefused) {
  LinkPair pair("the fleet's key", "another key");
  pair.RunUntil([&] {
    return !pair.accepting.close_reasons.empty() &&
           !pair.connecting.close_reasons.empty();
  });
  BOOST_TEST(pair.accepting.peers.empty());
  BOOST_TEST(pair.connecting.peers.empty());
}

BOOST_AUTO_TEST_CASE(PeerIsNotifiedOfClosedLink) {
  LinkPair pair("the fleet's key", "the fleet's key");
  pair.RunUntil([&] {
    return !pair.accepting.peers.empty() && !pair.connecting.peers.empty();
  });
  pair.connecting.link->Close();
  pair.RunUntil([&] { return !pair.accepting.close_reasons.empty(); });
  BOOST_TEST(
      (pair.accepting.close_reasons.front() == LinkCloseReason::kClosed));
  BOOST_TEST(pair.connecting.close_reasons.empty());
}

}  // namespace
}  // namespace coltsfootfork
