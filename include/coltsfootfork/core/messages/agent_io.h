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

// A link from an entry is up: it gets reports from now on.
struct EntryConnected {
  ProcessId entry;
};

// The entry or the link is gone; its requests have no caller any more.
struct EntryDisconnected {
  ProcessId entry;
};

struct EngineMessage {
  EngineToAgent message;
};

// The lowest fence that the control replicas still stand by, learnt anew
// after each start.
struct FenceFloor {
  Fence floor;
};

// An order from the control leader.
struct ControlOrder {
  EngineOrder order;
};

using AgentInput =
    std::variant<EntryMessage, EntryConnected, EntryDisconnected, EngineMessage,
                 FenceFloor, ControlOrder, ConfigurationInForce, StopRequested>;

struct SendToEntry {
  ProcessId entry;
  AgentToEntry message;
};

struct SendToEngine {
  AgentToEngine message;
};

// The order was applied, refused by its fence, or failed at the server.
struct OrderSettled {
  EngineOrderResult result;
};

using AgentEffect =
    std::variant<SendToEntry, SendToEngine, OrderSettled, CountReason>;

}  // namespace coltsfootfork
