#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace coltsfootfork {

// A TCP proxy in front of one process that injects network faults: it delays or
// stalls bytes, and resets or refuses connections.
class LoopbackProxy {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Starts to listen. Throws boost::system::system_error on failure.
  LoopbackProxy(boost::asio::io_context& io, const Endpoint& listen,
                Endpoint target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  Endpoint address() const { return acceptor_.local_endpoint(); }
  void SetDelay(std::chrono::milliseconds delay) { state_->delay = delay; }
  void SetRefusing(bool refusing) { state_->refusing = refusing; }
  // While stalled, bytes to or from the process are held back.
  void SetStalledToTarget(bool stalled) { state_->stalled_to_target = stalled; }
  void SetStalledFromTarget(bool stalled) {
    state_->stalled_from_target = stalled;
  }
  void ResetAll();

 private:
  struct State {
    std::chrono::milliseconds delay{0};
    bool refusing = false;
    bool stalled_to_target = false;
    bool stalled_from_target = false;
  };
  class Connection;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint target_;
  std::shared_ptr<State> state_ = std::make_shared<State>();
  std::set<std::weak_ptr<Connection>,
           std::owner_less<std::weak_ptr<Connection>>>
      connections_;
};

}  // namespace coltsfootfork
