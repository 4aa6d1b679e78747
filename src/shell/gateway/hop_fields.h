#pragma once

#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Returns the end-to-end fields, without the hop-by-hop fields (RFC 9110,
// section 7.6.1) and without Content-Length, which is set anew for each hop.
std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields);

}  // namespace coltsfootfork
