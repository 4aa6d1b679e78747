#pragma once

#include <cstdint>
#include <optional>

namespace coltsfootfork {

// Returns how many bytes the peer of the TCP socket has acknowledged since the
// connection was opened; nullopt if the kernel does not say (before Linux 4.1).
// Once the buffers of both hosts are full, the number grows only as the peer's
// process reads.
std::optional<std::uint64_t> AcknowledgedBytes(int socket);

}  // namespace coltsfootfork
