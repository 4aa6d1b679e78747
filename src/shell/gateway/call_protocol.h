#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/gateway/migration_schedule.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/net/http_server.h"

// The facts that the gateway reads from and adds to HTTP messages, independent
// of the headers and bodies in which a platform encodes them.
namespace coltsfootfork {

// The facts in the header fields of a caller's request.
struct CallHead {
  // Identifies this attempt of the caller.
  RequestId id;
  // API key of the workspace; empty if the caller sent none.
  std::string api_key;
  // How long the caller waits for the response.
  std::optional<std::chrono::milliseconds> caller_timeout;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  // Ids of the parts of the prompt that other calls may share, in order.
  std::vector<std::string> shared_parts;
  // The caller's estimate of its output length, if it sent one.
  std::optional<std::uint64_t> expected_output_tokens;
  // Id of the last event that the caller received, if it resumes a stream.
  std::string last_event_id;
};

// A copy of a running call's memory from which another server resumes the call.
struct MigrationSource {
  // IP:PORT of the server that issued the handle.
  std::string address;
  std::string handle;
};

// The facts that the gateway adds to the caller's header fields in the request
// to a server.
struct ForwardHead {
  ServerId server;
  // Time left until the call's deadline.
  std::chrono::milliseconds remaining_time{0};
  std::optional<WorkspaceId> workspace;
  std::optional<std::uint32_t> rank;
  // IP:PORT of the server that stores KV checkpoints of the call; empty if none
  // are made.
  std::string backup_address;
  std::optional<MigrationSource> migration_source;
  // Id of the last event that the caller received, if the stream is resumed.
  std::string last_event_id;
};

// The facts in the header fields of a server's response.
struct ResponseHead {
  // The server has not run the call and never will.
  bool not_run = false;
  // The call that the response belongs to; empty if the response names none.
  RequestId id;
  // The response carries the server's signature.
  bool has_signature = false;
  // Drain notice: the addressed server will shut down soon.
  bool is_draining = false;
  // Another server responded than the one that was addressed.
  bool is_misdirected = false;
  // How long this process is to send no requests to the server.
  std::optional<std::chrono::milliseconds> requested_backoff;
  // Requests per second that the server accepts from all entries together;
  // nullopt if it names no limit.
  std::optional<double> rate_limit;
  // How much longer the server is cold; nullopt if it does not say.
  std::optional<std::chrono::milliseconds> cold_remaining;
};

// Request to a server to copy the memory of a running call to another server.
struct KvTransferRequest {
  RequestId id;
  // IP:PORT of the server that receives the copy.
  std::string target_address;
  // The source stops the call before it sends the rest of its memory.
  bool is_final = false;
};

enum class KvTransferStatus : std::uint8_t {
  kDone = 0,
  // The call does not run on the source.
  kUnknownCall,
  // Another transfer of the call is in progress.
  kTransferInProgress,
  // The target lacks memory or is unreachable.
  kTargetUnavailable,
  kFailed,
};

struct KvTransferReply {
  KvTransferStatus status = KvTransferStatus::kFailed;
  // Set if there is a copy to resume from, which a refused transfer may also
  // leave.
  std::string handle;
};

// Encodes and decodes these facts. Implemented by the adapter of a platform.
class CallProtocol {
 public:
  virtual ~CallProtocol() = default;

  virtual CallHead ReadCallHead(const HttpRequest& request) const = 0;
  // Returns all header fields of the forwarded request: those of the caller
  // that are passed through, and the gateway's own.
  virtual std::vector<HttpField> ForwardFields(
      const HttpRequest& request, const ForwardHead& head) const = 0;
  virtual ResponseHead ReadResponseHead(const HttpResponse& response) const = 0;
  virtual HttpRequest WriteKvTransferRequest(
      const KvTransferRequest& transfer) const = 0;
  virtual KvTransferReply ReadKvTransferReply(
      const HttpResponse& response) const = 0;
  // Creates the request to the source of a KV transfer to free the copy, there
  // and at the target.
  virtual HttpRequest WriteKvCopyRelease(const std::string& handle) const = 0;
  // Creates the request for an engine's list of running calls.
  virtual HttpRequest WriteRunningCallsQuery() const = 0;
  // Returns nullopt if the response cannot be decoded.
  virtual std::optional<std::vector<RunningCall>> ReadRunningCalls(
      const HttpResponse& response) const = 0;
};

}  // namespace coltsfootfork
