#pragma once

#include <optional>
#include <string_view>

#include "coltsfootfork/core/messages/control_messages.h"
#include "shell/net/http_server.h"

// Converts control replies to the HTTP responses of the administration API.
namespace coltsfootfork {

// Returns 200 with the document and its revision as ETag, or 503 without a
// reply from a current control replica.
HttpResponse ConfigurationResponse(const std::optional<ControlReply>& reply);

// Returns 200, 412 with the Change-Id of the conflicting change, 422 with
// findings, or 503 if the outcome is unknown; the client may then retry with
// the same Change-Id.
HttpResponse PutResponse(const std::optional<ControlReply>& reply);

// Returns 200 with every process known to the leader, or 503 without a reply
// from a current control replica.
HttpResponse StatusResponse(const std::optional<ControlReply>& reply);

// Parses the revision in an If-Match field: a number, quoted or not.
std::optional<Revision> ParseRevision(std::string_view field);

}  // namespace coltsfootfork
