#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coltsfootfork/core/gateway/migration_schedule.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/net/http_server.h"

// What the gateway needs to know of a call, and what it adds to one, apart from
// how the outside writes it in headers and bodies.
namespace coltsfootfork {

// What a caller says of its call.
struct CallHead {
  // Names this attempt of the caller.
  RequestId id;
  // The workspace's key; empty without one.
  std::string key;
  // How long the caller waits.
  std::optional<std::chrono::milliseconds> patience;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  // The caller's estimate of its output, where it makes one.
  std::optional<std::uint64_t> expected_output_tokens;
  // The last event that the caller has, where it resumes a stream.
  std::string last_event;
};

// A copy of a running call's memory, and where the call goes on.
struct CarrySource {
  // IP:PORT of the server that issued the handle.
  std::string address;
  std::string handle;
};

// What the gateway tells the server beside the caller's own fields.
struct ForwardHead {
  ServerId server;
  // How much of the caller's time is left.
  std::chrono::milliseconds patience{0};
  std::optional<WorkspaceId> workspace;
  std::optional<std::uint32_t> rank;
  // IP:PORT of the server that keeps a copy of the running call.
  std::string backup_address;
  std::optional<CarrySource> carry;
  // The last event that the caller has, where a stream goes on.
  std::string last_event;
};

// What a server says of its answer.
struct AnswerHead {
  // The server has not run the call and never will.
  bool not_run = false;
  // The call that the answer belongs to; empty where it does not say.
  RequestId id;
  // The server vouches for the answer.
  bool has_signature = false;
  // The server that was asked for will not serve much longer.
  bool is_leaving = false;
  // For so long the server wants nothing from this process.
  std::optional<std::chrono::milliseconds> requested_backoff;
};

// Moves a running call's memory to another server.
struct MoveOrder {
  RequestId id;
  // IP:PORT of the server that gets the copy.
  std::string target_address;
  // The call stops where it runs.
  bool is_final = false;
};

enum class MoveEnd : std::uint8_t {
  kDone = 0,
  // No such call runs there.
  kUnknown,
  // Another move of the call is under way.
  kBusy,
  // The target has no room or cannot be reached.
  kNoRoom,
  kFailed,
};

struct MoveAnswer {
  MoveEnd end = MoveEnd::kFailed;
  // Set when there is a copy to go on from, also after a refusal.
  std::string handle;
};

// How the outside writes all this. Implemented by the adapter of a platform.
class CallProtocol {
 public:
  virtual ~CallProtocol() = default;

  virtual CallHead ReadCall(const HttpRequest& request) const = 0;
  // All fields of the forwarded request: the caller's that pass, and the
  // gateway's own.
  virtual std::vector<HttpField> ForwardFields(
      const HttpRequest& request, const ForwardHead& head) const = 0;
  virtual AnswerHead ReadAnswer(const HttpResponse& answer) const = 0;
  virtual HttpRequest WriteMove(const MoveOrder& order) const = 0;
  virtual MoveAnswer ReadMove(const HttpResponse& answer) const = 0;
  // Asks an engine what it runs.
  virtual HttpRequest WriteRunsQuery() const = 0;
  // Nothing where the answer cannot be read.
  virtual std::optional<std::vector<RunningCall>> ReadRuns(
      const HttpResponse& answer) const = 0;
};

}  // namespace coltsfootfork
