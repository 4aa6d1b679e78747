#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/messages/limit_messages.h"
#include "coltsfootfork/core/types/finding.h"
#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/reason.h"

// Requests to the control replicas and their replies.
namespace coltsfootfork {

// An idempotency key within its workspace.
struct ClaimKey {
  WorkspaceId workspace;
  std::string key;

  friend bool operator<(const ClaimKey& a, const ClaimKey& b) {
    return a.workspace != b.workspace ? a.workspace < b.workspace
                                      : a.key < b.key;
  }
  friend bool operator==(const ClaimKey& a, const ClaimKey& b) {
    return a.workspace == b.workspace && a.key == b.key;
  }
};

// The response that a retry of a settled request receives.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// Commits a claim of the idempotency key before the request is dispatched.
struct ClaimBegin {
  ClaimKey claim;
  // SHA-256 of method, target and body; a different digest under the same
  // key means a different request.
  std::string request_digest;
  RequestId request;
};

enum class ClaimVerdict : std::uint8_t {
  kGranted = 0,
  kDone,
  kInProgress,
  kOutcomeUnknown,
  kKeyReused,
  kNoQuorum,
};

struct ClaimBeginReply {
  ClaimVerdict verdict = ClaimVerdict::kNoQuorum;
  StoredResponse answer;
  // The reason why the claim failed despite a quorum; empty otherwise.
  std::string problem;
};

enum class ClaimOutcome : std::uint8_t { kDone = 0, kNotRun, kUnknown };

// Records the outcome of a claimed request. Only the request that owns the
// claim can settle it.
struct ClaimSettle {
  ClaimKey claim;
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  StoredResponse answer;
};

struct ClaimSettleReply {
  bool committed = false;
};

// Replaces the configuration if the revision in force is the expected one.
struct PutConfiguration {
  Revision expected = 0;
  // Identifies the change; a retry receives the first reply again.
  std::string change_id;
  // The document as JSON text.
  std::string document;
  // Set by the leader for the log: the document is a JSON patch from the
  // expected revision.
  bool is_patch = false;
  // Set by the leader for the log: SHA-256 of the whole document in canonical
  // form.
  std::string digest;
};

enum class PutVerdict : std::uint8_t {
  kAccepted = 0,
  kConflict,
  kInvalid,
  kNoQuorum,
};

struct PutConfigurationReply {
  PutVerdict verdict = PutVerdict::kNoQuorum;
  // The revision accepted, or the one in force on a conflict.
  Revision revision = 0;
  // The change that made the revision in force, on a conflict.
  std::string winner_change_id;
  std::vector<Finding> findings;
};

// Renews the lease of a process and reports its roles and revision in force.
struct RenewLease {
  ProcessId process;
  std::uint64_t incarnation = 0;
  // "entry", "agent" or "control", joined by commas.
  std::string roles;
  ZoneId zone;
  // The address at which other processes reach this process: "IP:PORT".
  std::string address;
  Revision in_force = 0;
  bool stopping = false;
  // Set for an agent whose backend server has announced itself.
  ServerId server;
  std::vector<ServiceId> services;
  std::uint64_t server_incarnation = 0;
  bool draining = false;
  // For an entry: demands that may exceed an even share of the limits.
  std::vector<WorkspaceDemand> demand;
};

// One agent in the directory from which entries select a backend server.
struct DirectoryAgent {
  ProcessId process;
  std::string address;
  ZoneId zone;
  ServerId server;
  std::vector<ServiceId> services;
  bool draining = false;
};

struct RenewLeaseReply {
  bool granted = false;
  std::chrono::milliseconds lease{0};
  Revision revision = 0;
  // Changes with each change of the directory.
  std::uint64_t directory_version = 0;
  // For an entry: its position among the entries, and its shares of the limits
  // that are split by demand.
  EntryPlace place;
  std::vector<WorkspaceLimitShare> shares;
};

// Requests the changes since a known revision and directory version.
struct FetchState {
  Revision have_revision = 0;
  std::uint64_t have_directory = 0;
  // Requests the whole document, after a digest mismatch.
  bool whole = false;
};

struct FetchStateReply {
  // False if the replying replica has no lease, so its state may be stale.
  bool current = false;
  Revision revision = 0;
  // A JSON patch (RFC 6902) from base_revision, or the whole document.
  bool is_patch = false;
  std::string payload;
  // SHA-256 of the whole document in canonical form, in hexadecimal digits.
  std::string digest;
  std::uint64_t directory_version = 0;
  std::vector<DirectoryAgent> directory;
  // The revision to which the patch applies.
  Revision base_revision = 0;
};

struct ReadStatus {};

struct ProcessStatus {
  RenewLease last;
  std::chrono::milliseconds lease_left{0};
};

// One replica of the control group.
struct ReplicaStatus {
  ProcessId process;
  // The random number of its data folder.
  std::uint64_t incarnation = 0;
  // True if the replica counts for the quorum; otherwise it is a learner.
  bool voter = false;
};

struct ReadStatusReply {
  bool current = false;
  ProcessId leader;
  std::uint64_t term = 0;
  Revision revision = 0;
  std::vector<ProcessStatus> processes;
  // Backend servers that are missing from the inventory or contradict it, and
  // names or addresses that two processes use.
  std::vector<Finding> findings;
  std::vector<ReplicaStatus> replicas;
};

using ControlRequest = std::variant<ClaimBegin, ClaimSettle, PutConfiguration,
                                    RenewLease, FetchState, ReadStatus>;
using ControlReply =
    std::variant<ClaimBeginReply, ClaimSettleReply, PutConfigurationReply,
                 RenewLeaseReply, FetchStateReply, ReadStatusReply>;

}  // namespace coltsfootfork
