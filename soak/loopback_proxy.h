#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace coltsfootfork {

// The way to one process, which a test spoils: bytes are delayed or held back
// in one direction, connections are reset or not let through.
class LoopbackProxy {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  // Listens at once; throws boost::system::system_error when it cannot.
  LoopbackProxy(boost::asio::io_context& io, const Endpoint& listen,
                Endpoint target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  Endpoint address() const { return acceptor_.local_endpoint(); }
  void SetDelay(std::chrono::milliseconds delay) { state_->delay = delay; }
  void SetRefusing(bool refusing) { state_->refusing = refusing; }
  // Bytes to the process, or back from it, are held until this ends.
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
