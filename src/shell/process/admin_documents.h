#pragma once

#include <optional>
#include <string_view>

#include "coltsfootfork/core/messages/control_messages.h"
#include "shell/net/http_server.h"

// The administration interface's answers as HTTP.
namespace coltsfootfork {

// 200 with the document and its revision as ETag, or 503.
HttpResponse ConfigurationResponse(const std::optional<ControlReply>& reply);

// 200, 412 with the winner, 422 with findings, or 503 when the outcome is not
// known: the same Change-Id may then be sent again.
HttpResponse PutResponse(const std::optional<ControlReply>& reply);

// 200 with every process that the leader knows, or 503.
HttpResponse StatusResponse(const std::optional<ControlReply>& reply);

// The revision of an If-Match field: a number, quoted or not.
std::optional<Revision> ParseRevision(std::string_view field);

}  // namespace coltsfootfork
