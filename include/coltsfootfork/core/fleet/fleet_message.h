#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coltsfootfork/core/fleet/keyed_load.h"
#include "coltsfootfork/core/fleet/memory_demand.h"
#include "coltsfootfork/core/fleet/server_directory.h"
#include "coltsfootfork/core/fleet/server_load.h"

// What the processes of a fleet say to each other beside what replicas say.
// Processes are named by the IP:PORT at which they listen for their peers.
namespace coltsfootfork {

// The first frame of a link: who has opened it.
struct Hello {
  // A control process's address, or an entry's name.
  std::string from;
  bool is_entry = false;
};

// What one control process knows, told to all others a few times a second.
struct ControlDigest {
  ZoneId zone;
  bool has_disk = false;
  // It has a disk without any group's state, at the fleet's first start.
  bool can_bootstrap = false;
  // Who founds the group, named by the one process that decides it.
  std::vector<std::string> bootstrap_voters;
  std::vector<std::string> voters;
  // Empty while no leader is known.
  std::string leader;
  // All control processes that it has heard of lately; most digests leave them
  // out.
  std::vector<std::string> peers;
  std::uint64_t directory_digest = 0;
  // The newest committed routing plan that it holds.
  std::uint64_t plan_version = 0;
};

struct ReplicaPayload {
  std::string bytes;
};

// Records that are new to the sender. A token other than zero asks for an
// acknowledgement.
struct DirectoryUpdate {
  std::uint64_t token = 0;
  std::vector<ServerRecord> records;
};
struct DirectoryAck {
  std::uint64_t token = 0;
};
// Asks for the records of the parts of the directory in which the receiver
// differs; for all where no digests are given.
struct DirectorySyncRequest {
  std::vector<std::uint64_t> bucket_digests;
};

// Asks for the routing plan.
struct PlanRequest {};
// A committed plan, as its operator sent it.
struct PlanDocument {
  std::uint64_t version = 0;
  std::string text;
};

// Work for the leader, from the process that an operator reached.
struct RelayRequest {
  std::uint64_t number = 0;
  // Set to change the plan; empty to read it.
  std::string document;
  std::uint64_t version = 0;
};
struct RelayReply {
  std::uint64_t number = 0;
  // The leader has committed, or read, what was asked; else it could not.
  bool done = false;
  PlanDocument plan;
};

// An entry's state, told to the control processes that it follows.
struct EntryReport {
  // Rises with each report over a link.
  std::uint64_t number = 0;
  // The entry counts, and its load, at one control process only.
  bool is_primary = false;
  std::uint64_t plan_version = 0;
  std::uint64_t directory_digest = 0;
  std::vector<LoadEntry> load;
  std::vector<DemandEntry> demand;
};

// What a control process tells the entries that follow it, also to show that
// it lives.
struct EntryUpdate {
  // It has heard a majority of the voters within the last moments.
  bool is_current = false;
  std::uint64_t plan_version = 0;
  std::uint64_t directory_digest = 0;
  // The entry's report that the sums told last include; zero for none.
  std::uint64_t included_report = 0;
};

// What entries' calls take, and what they want beyond it, told when it changes.
// A control process tells the others about those that report to it, and its
// entries about all; these take their own part out.
struct UsageReport {
  std::uint32_t entries = 0;
  // All of it, or what has changed since the message before.
  bool is_full = false;
  EncodedLoad load;
  std::vector<DemandEntry> demand;
};

// A control process that an entry may follow.
struct ControlPeer {
  std::string address;
  ZoneId zone;
  bool has_disk = false;
};
// All that are live, told to entries now and then.
struct PeerList {
  std::vector<ControlPeer> peers;
};

using FleetMessage =
    std::variant<Hello, ControlDigest, ReplicaPayload, DirectoryUpdate,
                 DirectoryAck, DirectorySyncRequest, PlanRequest, PlanDocument,
                 RelayRequest, RelayReply, EntryReport, EntryUpdate,
                 UsageReport, PeerList>;

// The name of the kind of message with that index among the alternatives.
std::string_view FleetMessageName(std::size_t kind);

// As CBOR: a map with the kind's name and its fields.
std::string EncodeFleetMessage(const FleetMessage& message);

// Nothing where the input is damaged or of an unknown kind. Fields that are not
// known are skipped, and those that are missing have their defaults.
std::optional<FleetMessage> DecodeFleetMessage(std::string_view bytes);

}  // namespace coltsfootfork
