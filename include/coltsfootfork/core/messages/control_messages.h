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

// What processes ask of the control replicas, and the answers.
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

// The answer that a resend of a settled request gets.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

// Commit a claim of the key before the request is handed over.
struct ClaimBegin {
  ClaimKey claim;
  // SHA-256 of method, target and body: another digest is another request.
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
  // Why no claim could be made although there is a quorum; empty otherwise.
  std::string problem;
};

enum class ClaimOutcome : std::uint8_t { kDone = 0, kNotRun, kUnknown };

// Record how the claimed request ended. Only the holder's settling counts.
struct ClaimSettle {
  ClaimKey claim;
  RequestId request;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  StoredResponse answer;
};

struct ClaimSettleReply {
  bool committed = false;
};

// Replace the configuration when the revision in force is the expected one.
struct PutConfiguration {
  Revision expected = 0;
  // Names the change: a resend gets the first answer again.
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

// A process renews its lease and tells what it is and has in force.
struct RenewLease {
  ProcessId process;
  std::uint64_t incarnation = 0;
  // "entry", "agent" or "control", joined by commas.
  std::string roles;
  ZoneId zone;
  // Where other processes reach it: "IP:PORT".
  std::string address;
  Revision in_force = 0;
  bool stopping = false;
  // Set for an agent whose backend server has announced itself.
  ServerId server;
  std::vector<ServiceId> services;
  std::uint64_t server_incarnation = 0;
  bool draining = false;
  // An entry's demands that an even part of the limits may not cover.
  std::vector<WorkspaceDemand> demand;
};

// One agent in the directory that entries choose from.
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
  // For an entry: its place, and its parts of limits that are split by demand.
  EntryPlace place;
  std::vector<WorkspaceLimitShare> shares;
};

// Ask for what has changed since a known revision and directory version.
struct FetchState {
  Revision have_revision = 0;
  std::uint64_t have_directory = 0;
  // Ask for the whole document, after a digest that did not match.
  bool whole = false;
};

struct FetchStateReply {
  // Nothing is known for sure: the replica that answered has no lease.
  bool current = false;
  Revision revision = 0;
  // A JSON patch (RFC 6902) from base_revision, or the whole document.
  bool is_patch = false;
  std::string payload;
  // SHA-256 of the whole document in canonical form, in hexadecimal digits.
  std::string digest;
  std::uint64_t directory_version = 0;
  std::vector<DirectoryAgent> directory;
  // The revision that a patch starts from.
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
  // It counts for the quorum; else it is a learner.
  bool voter = false;
};

struct ReadStatusReply {
  bool current = false;
  ProcessId leader;
  std::uint64_t term = 0;
  Revision revision = 0;
  std::vector<ProcessStatus> processes;
  // Backend servers that the inventory lacks or contradicts, and names or
  // addresses that two processes claim.
  std::vector<Finding> findings;
  std::vector<ReplicaStatus> replicas;
};

using ControlRequest = std::variant<ClaimBegin, ClaimSettle, PutConfiguration,
                                    RenewLease, FetchState, ReadStatus>;
using ControlReply =
    std::variant<ClaimBeginReply, ClaimSettleReply, PutConfigurationReply,
                 RenewLeaseReply, FetchStateReply, ReadStatusReply>;

}  // namespace coltsfootfork
