#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coltsfootfork/core/fleet/server_directory.h"
#include "control_api.h"
#include "platform/reserved_address.h"
#include "shell/fleet/control_node.h"
#include "shell/net/http_server.h"

namespace coltsfootfork::platform {

struct ControlProcess {
  std::unique_ptr<ReservedAddress> reserved_address;
  std::unique_ptr<ReservedAddress> reserved_api_address;
  std::string address;
  std::string folder;
  std::unique_ptr<ControlNode> control;
  std::unique_ptr<ControlApi> api;
  std::string api_address;
};

// Control processes with their HTTP API in one event loop, with data folders of
// their own.
class ControlGroup {
 public:
  // The processes after the first `count_with_disk` have no data folder.
  ControlGroup(int count, int count_with_disk,
               UsagePacing usage = PeriodicUsage{});
  ~ControlGroup();
  ControlGroup(const ControlGroup&) = delete;
  ControlGroup& operator=(const ControlGroup&) = delete;

  void Start(int index, bool is_first_start);
  // Ends all processes without a shutdown and starts them with their disks.
  void RestartAll();

  HttpResponse Call(int index, const std::string& method,
                    const std::string& path, const std::string& body);
  int Put(int index, int version, int timeout_ms = 1000);
  // Retries the change until it is acknowledged, as operators do.
  void PutUntilAccepted(int index, int version);
  // Returns the version of the plan, or the negative HTTP status of a failure.
  int ReadVersion(int index);
  // Retries, as operators do, while the process cannot confirm that its plan is
  // the latest.
  int ReadVersionUntilAvailable(int index);
  int Heartbeat(int index, const std::string& id, int sequence,
                const std::string& state, int incarnation = 1000);
  int Deregister(int index, const std::string& id);
  // Retries the heartbeat until it is acknowledged, as backend servers do.
  void HeartbeatUntilAcknowledged(int index, const std::string& id,
                                  int sequence, const std::string& state);
  // Retries, as operators and backend servers do, until `call` returns 200. A
  // single 503 is no failure: while a sync of one disk blocks all processes of
  // the group for longer than their link timeout, their links are closed, and
  // what is sent until they are open again is lost.
  static void UntilAcknowledged(const std::function<int()>& call);
  ServerState StateOf(int index, const std::string& id) const;
  void RunUntil(const std::function<bool()>& condition);

  boost::asio::io_context io{1};
  std::vector<ControlProcess> processes;

 private:
  UsagePacing usage_;
  std::string folder_;
};

}  // namespace coltsfootfork::platform
