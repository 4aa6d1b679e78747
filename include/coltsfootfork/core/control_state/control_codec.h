#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/control_state/control_command.h"
#include "coltsfootfork/core/messages/control_messages.h"

// CBOR forms of control messages, for the log and for links. A field that a
// reader does not know is skipped, one that is absent keeps its default.
// Damaged input, a field of a wrong kind or an unknown message type decodes
// to nothing.
namespace coltsfootfork {

std::string EncodeControlCommand(const ControlCommand& command);
std::optional<ControlCommand> DecodeControlCommand(std::string_view bytes);

std::string EncodeControlRequest(const ControlRequest& request);
std::optional<ControlRequest> DecodeControlRequest(std::string_view bytes);

std::string EncodeControlReply(const ControlReply& reply);
std::optional<ControlReply> DecodeControlReply(std::string_view bytes);

}  // namespace coltsfootfork
