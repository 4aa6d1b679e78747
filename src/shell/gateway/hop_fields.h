#pragma once

#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// The fields that concern the message and not one connection (RFC 9110, 7.6.1),
// without the body's length, which each connection sets anew.
std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields);

}  // namespace coltsfootfork
