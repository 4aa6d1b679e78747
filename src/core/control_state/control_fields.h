#pragma once

#include <string>

#include "coltsfootfork/core/messages/control_messages.h"
#include "field_archive.h"

// Field names of control messages, on the wire and in the log. The meaning of a
// name must never change, and a new field needs a default.
namespace coltsfootfork {

inline ClaimVerdict LastValue(ClaimVerdict /*kind*/) {
  return ClaimVerdict::kNoQuorum;
}
inline ClaimOutcome LastValue(ClaimOutcome /*kind*/) {
  return ClaimOutcome::kUnknown;
}
inline PutVerdict LastValue(PutVerdict /*kind*/) {
  return PutVerdict::kNoQuorum;
}

template <typename A>
void Fields(A& archive, Finding& m) {
  archive("place", m.place);
  archive("problem", m.problem);
}

template <typename A>
void Fields(A& archive, ClaimKey& m) {
  archive("workspace", m.workspace);
  archive("key", m.key);
}

template <typename A>
void Fields(A& archive, StoredResponse& m) {
  archive("status", m.status);
  archive("content_type", m.content_type);
  archive("body", BytesRef{m.body});
}

template <typename A>
void Fields(A& archive, ClaimBegin& m) {
  archive("claim", m.claim);
  archive("request_digest", m.request_digest);
  archive("request", m.request);
}

template <typename A>
void Fields(A& archive, ClaimBeginReply& m) {
  archive("verdict", m.verdict);
  archive("answer", m.answer);
  archive("problem", m.problem);
}

template <typename A>
void Fields(A& archive, ClaimSettle& m) {
  archive("claim", m.claim);
  archive("request", m.request);
  archive("outcome", m.outcome);
  archive("answer", m.answer);
}

template <typename A>
void Fields(A& archive, ClaimSettleReply& m) {
  archive("committed", m.committed);
}

template <typename A>
void Fields(A& archive, PutConfiguration& m) {
  archive("expected", m.expected);
  archive("change_id", m.change_id);
  archive("document", m.document);
  archive("is_patch", m.is_patch);
  archive("digest", m.digest);
}

template <typename A>
void Fields(A& archive, PutConfigurationReply& m) {
  archive("verdict", m.verdict);
  archive("revision", m.revision);
  archive("winner_change_id", m.winner_change_id);
  archive("findings", m.findings);
}

template <typename A>
void Fields(A& archive, LimitShare& m) {
  archive("requests_per_second", m.requests_per_second);
  archive("tokens_per_second", m.tokens_per_second);
  archive("concurrent_streams", m.concurrent_streams);
}

template <typename A>
void Fields(A& archive, WorkspaceDemand& m) {
  archive("workspace", m.workspace);
  archive("wanted", m.wanted);
}

template <typename A>
void Fields(A& archive, WorkspaceLimitShare& m) {
  archive("workspace", m.workspace);
  archive("share", m.share);
}

template <typename A>
void Fields(A& archive, EntryPlace& m) {
  archive("entries", m.entries);
  archive("index", m.index);
}

template <typename A>
void Fields(A& archive, RenewLease& m) {
  archive("process", m.process);
  archive("incarnation", m.incarnation);
  archive("roles", m.roles);
  archive("zone", m.zone);
  archive("address", m.address);
  archive("in_force", m.in_force);
  archive("stopping", m.stopping);
  archive("server", m.server);
  archive("services", m.services);
  archive("server_incarnation", m.server_incarnation);
  archive("draining", m.draining);
  archive("demand", m.demand);
}

template <typename A>
void Fields(A& archive, RenewLeaseReply& m) {
  archive("granted", m.granted);
  archive("lease_ms", m.lease);
  archive("revision", m.revision);
  archive("directory_version", m.directory_version);
  archive("place", m.place);
  archive("shares", m.shares);
}

template <typename A>
void Fields(A& archive, DirectoryAgent& m) {
  archive("process", m.process);
  archive("address", m.address);
  archive("zone", m.zone);
  archive("server", m.server);
  archive("services", m.services);
  archive("draining", m.draining);
}

template <typename A>
void Fields(A& archive, FetchState& m) {
  archive("have_revision", m.have_revision);
  archive("have_directory", m.have_directory);
  archive("whole", m.whole);
}

template <typename A>
void Fields(A& archive, FetchStateReply& m) {
  archive("current", m.current);
  archive("revision", m.revision);
  archive("is_patch", m.is_patch);
  archive("base_revision", m.base_revision);
  archive("payload", m.payload);
  archive("digest", m.digest);
  archive("directory_version", m.directory_version);
  archive("directory", m.directory);
}

template <typename A>
void Fields(A& /*archive*/, ReadStatus& /*m*/) {}

template <typename A>
void Fields(A& archive, ProcessStatus& m) {
  archive("last", m.last);
  archive("lease_left_ms", m.lease_left);
}

template <typename A>
void Fields(A& archive, ReplicaStatus& m) {
  archive("process", m.process);
  archive("incarnation", m.incarnation);
  archive("voter", m.voter);
}

template <typename A>
void Fields(A& archive, ReadStatusReply& m) {
  archive("current", m.current);
  archive("leader", m.leader);
  archive("term", m.term);
  archive("revision", m.revision);
  archive("processes", m.processes);
  archive("findings", m.findings);
  archive("replicas", m.replicas);
}

}  // namespace coltsfootfork
