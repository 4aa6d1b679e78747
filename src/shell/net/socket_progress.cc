#include "shell/net/socket_progress.h"

// The kernel's header, which has fields that netinet/tcp.h lacks; a source file
// cannot include both.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace coltsfootfork {

std::optional<std::uint64_t> AcknowledgedBytes(int socket) {
  constexpr socklen_t kNeededSize =
      offsetof(tcp_info, tcpi_bytes_acked) + sizeof(tcp_info::tcpi_bytes_acked);
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
  if (result != 0 || size < kNeededSize) return std::nullopt;
  return info.tcpi_bytes_acked;
}

}  // namespace coltsfootfork
