#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootfork {

// The numbered events that a process logs. docs/events.md describes the meaning
// of each one and the operator's action.
enum class Event : std::uint16_t {
  kStarted = 1001,
  kListening = 1002,
  kStopping = 1003,
  kStopped = 1004,
  kSettingsRead = 1005,
  kSettingsRefused = 1006,
  kReadiness = 1007,
  kLinkUp = 2001,
  kLinkDown = 2002,
  kLinkRefused = 2003,
  kConnectionsClosed = 2004,
  kPeerInputFailed = 2005,
  kRequestMalformed = 2006,
  kConfigurationInForce = 3001,
  kConfigurationRefused = 3002,
  kConfigurationUnconfirmed = 3003,
  kInventoryMismatch = 3004,
  kConfigurationPut = 3005,
  kEvacuationOrdered = 3006,
  kEvacuationsInForce = 3007,
  kServerAnnounced = 4001,
  kServerDraining = 4003,
  kOrderRefused = 4004,
  kServerFinding = 4005,
  kServerSaidItLeaves = 4006,
  kServerAskedForTime = 4007,
  kServerRateLimit = 4008,
  kServerCrashedAtStart = 4009,
  kDeparturesRecovered = 4010,
  kServerCold = 4011,
  kRequestRefused = 5001,
  kRequestIncomplete = 5002,
  kCallEnded = 5003,
  kCallSentAgain = 5004,
  kStreamCarried = 5005,
  kCarryRefused = 5006,
  kStreamMoved = 5007,
  kPromptPartRefused = 5008,
  kSlowCallerEnded = 5009,
  kBecameLeader = 6001,
  kLostLeadership = 6002,
  kReplicaFailed = 6003,
  kStorageFailed = 6004,
  kSnapshotTaken = 6005,
  kReplicaChanged = 6006,
};

// One named value in the log line of an event.
struct EventField {
  std::string_view name;
  std::string value;
};

struct EventInfo {
  Event event;
  std::string_view name;
};
// Returns all events, ordered by number.
const std::vector<EventInfo>& AllEvents();

// Returns the name of the event in snake case, as listed in docs/events.md.
std::string_view EventName(Event event);

enum class LogLevel { kError, kWarning, kInfo, kDebug };

// Stops the threads that the log library starts when it is loaded, because a
// process of the system is single-threaded. Call before anything else.
void EndLogThreads();

// Starts logging to standard error. Call once, before the first Log().
void StartLog(LogLevel min_level);

// Writes one line with the event's number, its name and the fields as
// NAME=VALUE.
void Log(LogLevel level, Event event, std::initializer_list<EventField> fields);

}  // namespace coltsfootfork
