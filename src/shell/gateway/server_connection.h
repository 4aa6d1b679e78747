#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"
#include "shell/gateway/call_protocol.h"
#include "shell/net/message_parser.h"

namespace coltsfootfork {

// The result of an HTTP exchange with a server.
enum class ExchangeEnd : std::uint8_t {
  // The response is complete, as its length or its last chunk shows.
  kComplete = 0,
  // The response has neither a length nor chunks, and the server closed the
  // connection in order.
  kClosed,
  // The connection was closed early.
  kBroken,
  // The response is not valid HTTP.
  kMalformed,
  // Too much HTTP framing, or too many bytes of responses to other calls.
  kOversized,
};

// Callbacks of one exchange. Called from the event loop, never from within
// Send.
struct ExchangeEvents {
  std::function<void(const HttpResponse& head, const ResponseHead& facts)>
      on_head;
  std::function<void(std::string_view bytes)> on_body;
  // The request was written, or will not be written any more, and its bytes are
  // released. Called once, also after the exchange has ended.
  std::function<void()> on_written;
  // Called once, unless the exchange was cancelled.
  std::function<void(ExchangeEnd end)> on_end;
};

// A connection to a backend server, with at most one request in flight. It is
// reused only after a complete response with no further bytes, and closed when
// bytes arrive while it is idle. A response that names another call is late and
// therefore skipped.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Receives the connection, or null if the server was not reached in time.
  using ConnectHandler =
      std::function<void(std::shared_ptr<ServerConnection> connection)>;
  static void Connect(boost::asio::io_context& io,
                      const boost::asio::ip::tcp::endpoint& server,
                      const CallProtocol& protocol,
                      ConnectHandler on_connected);

  ServerConnection(boost::asio::io_context& io, const CallProtocol& protocol);

  // Sends a request of the call `id`. The connection must be idle and open.
  void Send(std::string bytes, RequestId id, ExchangeEvents events);
  // Stops reading the response, except for what was read already, and reads on.
  void SetReadPaused(bool paused);
  // Closes the connection and cancels the exchange without a callback, except
  // for on_written.
  void Close();

  // Sets a handler that is called with true when an exchange has ended and the
  // connection is idle, and once with false when the connection is closed.
  void OnIdleOrClosed(std::function<void(bool open)> handler) {
    idle_handler_ = std::move(handler);
  }

  bool is_open() const { return open_; }
  // When to close the connection if it stays idle, before the server closes it.
  Time idle_until() const { return idle_until_; }
  Time idle_since() const { return idle_since_; }

 private:
  void StartIdleTimer();
  void Read();
  void OnRead(boost::system::error_code error);
  // Parses the buffered bytes. Returns whether the exchange is still in flight.
  bool Parse();
  bool OnHead();
  // Counts bytes of a skipped response. Returns false, and fails the exchange,
  // if they exceed the limit.
  bool SkipBytes(std::size_t bytes);
  // Ends the exchange after the last byte of its response.
  void OnComplete(ExchangeEnd end);
  void Fail(ExchangeEnd end = ExchangeEnd::kBroken);
  void ReadKeepAliveTimeout();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const CallProtocol& protocol_;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseParser> parser_;
  ExchangeEvents events_;
  RequestId id_;
  std::string outgoing_;
  std::function<void(bool open)> idle_handler_;
  bool open_ = false;
  bool busy_ = false;
  bool writing_ = false;
  // The request of this exchange was not written to its end.
  bool write_failed_ = false;
  bool reading_ = false;
  bool read_paused_ = false;
  // The current response is interim or belongs to another call.
  bool skipping_ = false;
  bool head_reported_ = false;
  // Bytes skipped in this exchange.
  std::size_t skipped_bytes_ = 0;
  Time idle_until_;
  Time idle_since_;
};

}  // namespace coltsfootfork
