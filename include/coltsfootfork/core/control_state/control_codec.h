#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/control_state/control_command.h"
#include "coltsfootfork/core/messages/control_messages.h"

// CBOR encoding of control messages for the log and for connections between
// processes. The decoder skips unknown fields and leaves absent fields at
// their defaults. It returns std::nullopt for corrupt input, a field of the
// wrong type and an unknown message type.
namespace coltsfootfork {

std::string EncodeControlCommand(const ControlCommand& command);
std::optional<ControlCommand> DecodeControlCommand(std::string_view bytes);

std::string EncodeControlRequest(const ControlRequest& request);
std::optional<ControlRequest> DecodeControlRequest(std::string_view bytes);

std::string EncodeControlReply(const ControlReply& reply);
std::optional<ControlReply> DecodeControlReply(std::string_view bytes);

}  // namespace coltsfootfork
