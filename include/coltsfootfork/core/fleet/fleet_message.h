#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coltsfootfork/core/fleet/crash_ledger.h"
#include "coltsfootfork/core/fleet/keyed_load.h"
#include "coltsfootfork/core/fleet/latency_feed.h"
#include "coltsfootfork/core/fleet/memory_demand.h"
#include "coltsfootfork/core/fleet/performance_feed.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"
#include "coltsfootfork/core/fleet/zone_evacuations.h"

// Messages between the processes of a fleet, apart from the replication
// protocol. A process is identified by the IP:PORT at which it listens for
// peers.
namespace coltsfootfork {

// The first frame on a connection; identifies the process that opened it.
struct Hello {
  // A control process's address, or an entry's name.
  std::string from;
  bool is_entry = false;
  // The process can reassemble messages that are sent in parts.
  bool accepts_parts = false;
};

// The state of a control process, broadcast to all others a few times a second.
struct ControlDigest {
  ZoneId zone;
  bool has_disk = false;
  // The process has a disk that holds no replica group's state, and this is the
  // fleet's first start.
  bool can_bootstrap = false;
  // The bootstrap voters of the replica group, once the deciding process has
  // selected them.
  std::vector<std::string> bootstrap_voters;
  std::vector<std::string> voters;
  // Empty while no leader is known.
  std::string leader;
  // All control processes known from recent digests; omitted from most digests.
  std::vector<std::string> peers;
  DirectoryDigest directory_digest;
  // The newest committed routing plan of the process.
  std::uint64_t plan_version = 0;
  // See Hello.
  bool accepts_parts = false;
  // What some peer does not have yet of the sender's crash ledger.
  EncodedCrashes crashes;
  // Absent if no zone was ever evacuated.
  std::optional<EvacuatedZones> evacuated;
  // The process has restarted, or was elected leader, and may not know all that
  // was committed before. Its evacuated zones may be outdated.
  bool is_recovering = false;
  // New pauses that the sender's entries reported; mostly empty.
  EncodedPauseSums pauses;
  // The same for latencies.
  EncodedLatencySums latencies;
};

struct ReplicaPayload {
  std::string bytes;
};

// Records that are new to the sender. A nonzero token requests an
// acknowledgement once the records are on the receiver's disk.
struct DirectoryUpdate {
  std::uint64_t token = 0;
  std::vector<ServerRecord> records;
};
struct DirectoryAck {
  std::uint64_t token = 0;
};
// Requests the records of the directory buckets whose digests differ from the
// receiver's, and the removed records if their digest does. An empty list
// requests all records.
struct DirectorySyncRequest {
  std::vector<std::uint64_t> bucket_digests;
  // See DirectoryDigest.
  std::optional<std::uint64_t> removed_digest;
};

// Requests the routing plan.
struct PlanRequest {};
// A committed plan, byte for byte as the operator submitted it.
struct PlanDocument {
  std::uint64_t version = 0;
  std::string text;
};

// An operator's request, forwarded to the leader by the process that received
// it.
struct RelayRequest {
  std::uint64_t number = 0;
  // The new plan; empty to read the current one.
  std::string document;
  std::uint64_t version = 0;
  // Set for an order to evacuate a zone instead of a change or a read.
  std::optional<EvacuationOrder> evacuation;
};
struct RelayReply {
  std::uint64_t number = 0;
  // True if the leader committed or read the plan; false if it could not.
  bool done = false;
  PlanDocument plan;
  // Set in the reply to an evacuation order. A leader of a version without
  // evacuations leaves it out, and the order is not acknowledged.
  std::optional<EvacuationOutcome> evacuation;
};

// The state machine's reply to an EvacuationOrder in the replicated log.
struct EvacuationReply {
  EvacuationOutcome outcome = EvacuationOutcome::kApplied;
};
// A snapshot of the replicated state.
struct FleetSnapshot {
  PlanDocument plan;
  std::vector<ZoneEvacuation> evacuations;
};

// An entry's state, sent to the control processes to which it is subscribed.
struct EntryReport {
  // Increases with each report on a connection.
  std::uint64_t number = 0;
  // True at one of the control processes only, so that the entry and its load
  // are counted once.
  bool is_primary = false;
  std::uint64_t plan_version = 0;
  DirectoryDigest directory_digest;
  std::vector<LoadEntry> load;
  std::vector<DemandEntry> demand;
  // What has changed in the sender's crash ledger since the last report on this
  // link.
  EncodedCrashes crashes;
  // The pauses of streams and the latencies since the last report that had any.
  EncodedPauseSums pauses;
  EncodedLatencySums latencies;
};

// Sent by a control process to its subscribed entries; also serves as the
// heartbeat.
struct EntryUpdate {
  // The process has been in contact with a quorum of the voters recently.
  bool is_current = false;
  std::uint64_t plan_version = 0;
  DirectoryDigest directory_digest;
  // Number of the entry's newest report that the last published usage includes;
  // zero for none.
  std::uint64_t included_report = 0;
  // See EntryReport.
  EncodedCrashes crashes;
  // See ControlDigest.
  std::optional<EvacuatedZones> evacuated;
  bool is_recovering = false;
  // Servers whose mean pauses or latencies changed.
  EncodedPauses pauses;
  EncodedLatencies latencies;
};

// The server load and unmet memory demand of entries' calls, sent when they
// change. A control process sends its peers the usage of its own entries, and
// sends its entries the usage of all entries; each entry subtracts its own
// part.
struct UsageReport {
  std::uint32_t entries = 0;
  // True if `load` covers all servers; false if it lists only those whose load
  // has changed since the previous report.
  bool is_full = false;
  EncodedLoad load;
  std::vector<DemandEntry> demand;
};

// A control process to which an entry can subscribe.
struct ControlPeer {
  std::string address;
  ZoneId zone;
  bool has_disk = false;
};
// All live control processes, sent to entries periodically.
struct PeerList {
  std::vector<ControlPeer> peers;
};

using FleetMessage =
    std::variant<Hello, ControlDigest, ReplicaPayload, DirectoryUpdate,
                 DirectoryAck, DirectorySyncRequest, PlanRequest, PlanDocument,
                 RelayRequest, RelayReply, EntryReport, EntryUpdate,
                 UsageReport, PeerList, EvacuationOrder, EvacuationReply,
                 FleetSnapshot>;

// Returns the message type name of the FleetMessage alternative at index
// `kind`.
std::string_view FleetMessageName(std::size_t kind);

// Encodes the message as a CBOR map of the type name and the fields.
std::string EncodeFleetMessage(const FleetMessage& message);

// Returns nullopt if the input is malformed or its type is unknown. Unknown
// fields are skipped and missing fields keep their defaults.
std::optional<FleetMessage> DecodeFleetMessage(std::string_view bytes);

}  // namespace coltsfootfork
