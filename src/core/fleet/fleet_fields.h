#pragma once

#include "coltsfootfork/core/fleet/fleet_message.h"
#include "core/control_state/field_archive.h"

// Field names of fleet messages on the wire. A name must keep its meaning, and
// a new field needs a default.
namespace coltsfootfork {

inline ServerState LastValue(ServerState /*kind*/) {
  return ServerState::kRemoved;
}

inline EvacuationOutcome LastValue(EvacuationOutcome /*kind*/) {
  return EvacuationOutcome::kTooManyZones;
}

template <typename A>
void Fields(A& archive, EvacuatedZones& m) {
  archive("revision", m.revision);
  archive("zones", m.zones);
}

template <typename A>
void Fields(A& archive, EvacuationOrder& m) {
  archive("zone", m.zone);
  archive("start", m.is_start);
  archive("known", m.known_revision);
}

template <typename A>
void Fields(A& archive, ZoneEvacuation& m) {
  archive("zone", m.zone);
  archive("evacuated", m.is_evacuated);
  archive("revision", m.revision);
}

template <typename A>
void Fields(A& archive, EvacuationReply& m) {
  archive("outcome", m.outcome);
}

template <typename A>
void Fields(A& archive, ServerRecord& m) {
  archive("id", m.id);
  archive("born", m.incarnation);
  archive.OmitDefault("reported", m.reported_incarnation);
  archive("sequence", m.sequence);
  archive("service", m.service);
  archive("address", m.address);
  archive("zone", m.zone);
  archive("slots", m.slots);
  archive("state", m.state);
  archive("cold_left", m.warmup_remaining);
  archive("removed_for", m.removed_for);
}

template <typename A>
void Fields(A& archive, LoadEntry& m) {
  archive("s", m.server);
  archive("c", m.load.calls);
  archive("t", m.load.tokens);
  archive("u", m.load.pending_prefill_tokens);
}

template <typename A>
void Fields(A& archive, DemandEntry& m) {
  archive("s", m.service);
  archive("r", m.rank);
  archive("t", m.tokens);
}

template <typename A>
void Fields(A& archive, Hello& m) {
  archive("from", m.from);
  archive("is_entry", m.is_entry);
  archive("parts", m.accepts_parts);
}

template <typename A>
void Fields(A& archive, ControlDigest& m) {
  archive("zone", m.zone);
  archive("has_disk", m.has_disk);
  archive("may_found", m.can_bootstrap);
  archive("founders", m.bootstrap_voters);
  archive("voters", m.voters);
  archive("leader", m.leader);
  archive("peers", m.peers);
  archive("directory", m.directory_digest.servers);
  archive("removed", m.directory_digest.removed);
  archive("plan", m.plan_version);
  archive("parts", m.accepts_parts);
  archive("crashes", m.crashes);
  archive.OmitDefault("evacuated", m.evacuated);
  archive.OmitDefault("recovering", m.is_recovering);
  archive.OmitDefault("pauses", m.pauses);
  archive.OmitDefault("lat", m.latencies);
}

template <typename A>
void Fields(A& archive, ReplicaPayload& m) {
  archive("bytes", BytesRef{m.bytes});
}

template <typename A>
void Fields(A& archive, DirectoryUpdate& m) {
  archive("token", m.token);
  archive("records", m.records);
}

template <typename A>
void Fields(A& archive, DirectoryAck& m) {
  archive("token", m.token);
}

template <typename A>
void Fields(A& archive, DirectorySyncRequest& m) {
  archive("parts", m.bucket_digests);
  archive("removed", m.removed_digest);
}

template <typename A>
void Fields(A& /*archive*/, PlanRequest& /*m*/) {}

template <typename A>
void Fields(A& archive, PlanDocument& m) {
  archive("version", m.version);
  archive("text", BytesRef{m.text});
}

template <typename A>
void Fields(A& archive, FleetSnapshot& m) {
  archive("plan", m.plan);
  archive("evacuations", m.evacuations);
}

template <typename A>
void Fields(A& archive, RelayRequest& m) {
  archive("number", m.number);
  archive("document", BytesRef{m.document});
  archive("version", m.version);
  archive.OmitDefault("evacuation", m.evacuation);
}

template <typename A>
void Fields(A& archive, RelayReply& m) {
  archive("number", m.number);
  archive("done", m.done);
  archive("plan", m.plan);
  archive.OmitDefault("evacuation", m.evacuation);
}

template <typename A>
void Fields(A& archive, EntryReport& m) {
  archive("number", m.number);
  archive("is_primary", m.is_primary);
  archive("plan", m.plan_version);
  archive("directory", m.directory_digest.servers);
  archive("removed", m.directory_digest.removed);
  archive("load", m.load);
  archive("demand", m.demand);
  archive("crashes", m.crashes);
  archive.OmitDefault("pauses", m.pauses);
  archive.OmitDefault("lat", m.latencies);
}

template <typename A>
void Fields(A& archive, EntryUpdate& m) {
  archive("is_current", m.is_current);
  archive("plan", m.plan_version);
  archive("directory", m.directory_digest.servers);
  archive("removed", m.directory_digest.removed);
  archive("report", m.included_report);
  archive("crashes", m.crashes);
  archive.OmitDefault("evacuated", m.evacuated);
  archive.OmitDefault("recovering", m.is_recovering);
  archive.OmitDefault("pauses", m.pauses);
  archive.OmitDefault("lat", m.latencies);
}

template <typename A>
void Fields(A& archive, UsageReport& m) {
  archive("entries", m.entries);
  archive("whole", m.is_full);
  archive("load", m.load);
  archive("demand", m.demand);
}

template <typename A>
void Fields(A& archive, ControlPeer& m) {
  archive("address", m.address);
  archive("zone", m.zone);
  archive("has_disk", m.has_disk);
}

template <typename A>
void Fields(A& archive, PeerList& m) {
  archive("peers", m.peers);
}

}  // namespace coltsfootfork
