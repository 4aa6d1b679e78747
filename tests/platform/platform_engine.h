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

  // Where it is reached: its own address, unless another one leads there.
  std::string address() const;
  void SetAddress(std::string address) { address_ = std::move(address); }
  const std::string& id() const { return id_; }

  // Events of a whole stream.
  void SetEventsPerStream(int events_per_stream) {
    events_per_stream_ = events_per_stream;
  }
  // Turns down every new call as not run.
  void SetRejectsCalls(bool rejects) { rejects_calls_ = rejects; }
  // Engines that a copy may be kept on or moved to, by address.
  void SetPeers(std::vector<PlatformEngine*> peers) {
    peers_ = std::move(peers);
  }
  // Turns down every new call as not run, and runs it all the same.
  void SetRunsRejectedCalls(bool runs_rejected_calls) {
    runs_rejected_calls_ = runs_rejected_calls;
  }
  // Says in all its answers that it leaves.
  void SetDraining(bool draining) { draining_ = draining; }
  // Plain answers name their call as well.
  void SetEchoesCallId(bool echoes) { echoes_call_id_ = echoes; }
  // Breaks off all streams without their end, as a crash does.
  void Crash();
  // Keeps copies of running calls, as far as the event that they stand at.
  bool HasKvCopy(const std::string& handle) const {
    return kv_copies_.count(handle) != 0;
  }

  // How often a call began to run here without a copy.
  int runs_started() const { return runs_started_; }
  int runs_migrated() const { return runs_migrated_; }
  // The same by call.
  const std::map<std::string, int>& runs_by_call() const {
    return runs_by_call_;
  }
  std::size_t running() const { return runs_.size(); }
  // The value of that field in the last call that was taken; empty without.
  std::string LastRequestField(const std::string& name) const;

 private:
  struct Run;

  void OnRequest(const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange);
  void OnCall(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);
  void OnKvTransfer(const HttpRequest& request, HttpExchange& exchange);
  void SendNextEvent(const std::string& call);
  // The engine of "ADDRESS/HANDLE" or "ADDRESS"; null for an unknown one.
  PlatformEngine* Peer(const std::string& address);

  boost::asio::io_context& io_;
  std::string id_;
  HttpServer server_;
  int events_per_stream_ = 20;
  bool rejects_calls_ = false;
  bool runs_rejected_calls_ = false;
  bool draining_ = false;
  bool echoes_call_id_ = false;
  std::string address_;
  std::vector<PlatformEngine*> peers_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
  std::set<std::string> kv_copies_;
  int runs_started_ = 0;
  int runs_migrated_ = 0;
  std::map<std::string, int> runs_by_call_;
  HttpRequest last_request_;
};

}  // namespace coltsfootfork
