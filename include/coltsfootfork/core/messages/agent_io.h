#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "coltsfootfork/core/configuration/configuration.h"
#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/messages/entry_io.h"
#include "coltsfootfork/core/messages/request_messages.h"

// Inputs and effects of the agent's decision core.
namespace coltsfootfork {

struct EntryMessage {
  ProcessId entry;
  EntryToAgent message;
};

// An entry has connected; the agent sends it server reports from now on.
struct EntryConnected {
  ProcessId entry;
};

// The entry or its connection failed; its requests no longer have a caller.
struct EntryDisconnected {
  ProcessId entry;
};

struct EngineMessage {
  EngineToAgent message;
};

// The lowest fencing token that the control replicas still accept, fetched
// again after each start.
struct FencingTokenFloor {
  FencingToken floor;
};

// An engine order issued by the control leader.
struct ControlOrder {
  EngineOrder order;
};

using AgentInput = std::variant<EntryMessage, EntryConnected, EntryDisconnected,
                                EngineMessage, FencingTokenFloor, ControlOrder,
                                ConfigurationInForce, StopRequested>;

struct SendToEntry {
  ProcessId entry;
  AgentToEntry message;
};

struct SendToEngine {
  AgentToEngine message;
};

// An order was applied, rejected by its fencing token, or failed at the server.
struct OrderCompleted {
  EngineOrderResult result;
};

using AgentEffect =
    std::variant<SendToEntry, SendToEngine, OrderCompleted, CountReason>;

}  // namespace coltsfootfork
