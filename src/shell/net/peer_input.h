#pragma once

#include <exception>
#include <string_view>
#include <utility>

namespace coltsfootfork {

// Logs that handling what a peer sent threw an exception. `reader` names what
// was read.
void LogPeerInputFailure(std::string_view reader,
                         const std::exception& exception);

// Calls `handle`, which handles bytes of a peer. Returns false, after logging,
// if it throws an exception; the caller then closes the connection, so that a
// peer can end its own connection, but not the process.
template <typename Function>
[[nodiscard]] bool HandlePeerInput(std::string_view reader, Function&& handle) {
  try {
    std::forward<Function>(handle)();
    return true;
  } catch (const std::exception& exception) {
    LogPeerInputFailure(reader, exception);
    return false;
  }
}

}  // namespace coltsfootfork
