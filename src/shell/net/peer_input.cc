#include "shell/net/peer_input.h"

#include <string>

#include "shell/log/event.h"

namespace coltsfootfork {

void LogPeerInputFailure(std::string_view reader,
                         const std::exception& exception) {
  Log(LogLevel::kError, Event::kPeerInputFailed,
      {{"reader", std::string(reader)}, {"problem", exception.what()}});
}

}  // namespace coltsfootfork
