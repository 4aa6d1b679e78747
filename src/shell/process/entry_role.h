#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/routing/entry_core.h"
#include "shell/net/http_server.h"
#include "shell/process/caller_response.h"
#include "shell/process/process_context.h"
#include "shell/process/trace_file.h"

namespace coltsfootfork {

// The entry role: accepts callers' requests over HTTP, passes them to the
// decision core, and executes the resulting effects.
class EntryRole {
 public:
  // Starts listening; throws boost::system::system_error on failure. A
  // different seed at each start keeps request ids unique across restarts.
  EntryRole(ProcessContext& context, std::uint64_t seed);

  boost::asio::ip::tcp::endpoint local_endpoint() const {
    return server_.local_endpoint();
  }

  void OnAgentConnected(const ProcessId& agent);
  void OnAgentDisconnected(const ProcessId& agent);
  void OnAgentMessage(const ProcessId& agent, AgentToEntry message);
  void OnConfiguration(std::shared_ptr<const Configuration> configuration);
  void OnDirectory(const std::vector<DirectoryAgent>& directory);
  // Applies the leader's reply to a lease renewal: this entry's shares of all
  // limits.
  void OnLimitShares(const RenewLeaseReply& reply);
  std::vector<WorkspaceDemand> DemandToReport(Time now) const;
  void Tick(Time now);

  // Refuses new requests; running requests continue.
  void Stop();
  // Returns true if no caller's request and no claim settlement is pending.
  bool Drained() const;
  std::optional<Time> NextDeadline() const { return core_.NextDeadline(); }
  // Closes the callers' connections after their responses are written.
  void CloseCallerConnections() { server_.Stop(); }
  bool Flushed() const { return server_.open_connections() == 0; }

 private:
  // One caller's request until its response is complete.
  struct Caller {
    CallerResponse response;
    Rank rank = Rank::kDeferrable;
    ServiceId service;
    std::uint32_t prompt_tokens = 0;
    Time arrived;
    std::optional<Time> last_token;
    std::uint64_t reported_backlog = 0;
  };

  void OnRequest(const HttpRequest& http,
                 std::shared_ptr<HttpExchange> exchange);
  void Admit(ParsedCallerRequest parsed,
             std::shared_ptr<HttpExchange> exchange);
  void Refuse(HttpExchange& exchange, Reason reason, std::string detail,
              std::chrono::milliseconds retry_after);
  RequestId NextRequestId();

  void HandleInput(const EntryInput& input);
  void Execute(const std::vector<EntryEffect>& effects);
  void Execute(const SendToAgent& effect);
  void Execute(const DeliverToken& effect);
  void Execute(const DeliverEnd& effect);
  void Execute(const DeliverResponse& effect);
  void Execute(const DeliverProblem& effect);
  void Execute(const BeginClaim& effect);
  void Execute(const SettleClaim& effect);
  void Execute(const CountReason& effect);
  // Reports to the core how many response bytes wait for each slow caller.
  void ReportBacklogs();

  ProcessContext& context_;
  EntryCore core_;
  // Null unless decisions are recorded.
  std::unique_ptr<TraceFile> trace_;
  std::string request_prefix_;
  std::uint64_t next_request_ = 1;
  std::map<RequestId, Caller> callers_;
  // The directory's agents that this entry keeps links to.
  std::set<ProcessId> agents_;
  EntryPlace place_;
  std::uint32_t pending_settles_ = 0;
  bool stopping_ = false;
  HttpServer server_;
};

}  // namespace coltsfootfork
