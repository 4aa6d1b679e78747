#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// A stand-in of the platform's model engine, by its published protocol: streams
// of numbered events, turned-down calls, copies of running calls and moves. It
// keeps no time but one event after another.
class PlatformEngine {
 public:
  PlatformEngine(boost::asio::io_context& io, std::string id);

  std::string address() const;
  const std::string& id() const { return id_; }

  // Events of a whole stream.
  void SetEvents(int events) { events_ = events; }
  // Turns down every new call as not run.
  void SetFull(bool full) { full_ = full; }
  // Engines that a copy may be kept on or moved to, by address.
  void SetPeers(std::vector<PlatformEngine*> peers) {
    peers_ = std::move(peers);
  }
  // Breaks off all streams without their end, as a crash does.
  void Crash();
  // Keeps copies of running calls, as far as the event that they stand at.
  bool HasCopy(const std::string& handle) const {
    return copies_.count(handle) != 0;
  }

  // How often a call began to run here without a copy.
  int runs_begun() const { return runs_begun_; }
  int runs_carried() const { return runs_carried_; }
  std::size_t running() const { return runs_.size(); }
  // The value of that field in the last call that was taken; empty without.
  std::string LastField(const std::string& name) const;

 private:
  struct Run;

  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange);
  void OnCall(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);
  void OnMove(const HttpRequest& request, HttpExchange& exchange);
  void Step(const std::string& call);
  // The engine of "ADDRESS/HANDLE" or "ADDRESS"; null for an unknown one.
  PlatformEngine* Peer(const std::string& address);

  boost::asio::io_context& io_;
  std::string id_;
  HttpServer server_;
  int events_ = 20;
  bool full_ = false;
  std::vector<PlatformEngine*> peers_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
  std::set<std::string> copies_;
  int runs_begun_ = 0;
  int runs_carried_ = 0;
  HttpRequest last_call_;
};

}  // namespace coltsfootfork
