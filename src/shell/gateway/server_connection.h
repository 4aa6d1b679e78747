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
#include "shell/gateway/answer_parser.h"
#include "shell/gateway/call_protocol.h"

namespace coltsfootfork {

// How an exchange with a server ended.
enum class ExchangeEnd : std::uint8_t {
  // The answer came whole.
  kWhole = 0,
  // The connection broke, or what came is no answer.
  kBroken,
  // What came is more than any answer's frame, or other answers without end.
  kEndless,
};

// What one exchange tells its call. Called from the event loop, never from
// within Send.
struct ExchangeEvents {
  std::function<void(const HttpResponse& head, const ResponseHead& facts)>
      on_head;
  std::function<void(std::string_view bytes)> on_body;
  // Called once, unless the exchange was cancelled.
  std::function<void(ExchangeEnd end)> on_end;
};

// One connection to a backend server. It carries one request at a time; it is
// reused only after a whole answer with nothing behind it, and closed as soon
// as anything arrives that nobody asked for. An answer that names another call
// is passed over: it came late.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // Hands over the connection, or null when the server was not reached in time.
  using Connected =
      std::function<void(std::shared_ptr<ServerConnection> connection)>;
  static void Connect(boost::asio::io_context& io,
                      const boost::asio::ip::tcp::endpoint& server,
                      const CallProtocol& protocol, Connected connected);

  ServerConnection(boost::asio::io_context& io, const CallProtocol& protocol);

  // Sends a request; the connection must be idle and open.
  void Send(std::string bytes, RequestId id, ExchangeEvents events);
  // Ends the exchange without a word; the server sees a closed connection.
  void Close();

  // Called with true when an exchange ended and left the connection idle, and
  // once with false when the connection is closed.
  void OnIdle(std::function<void(bool open)> handler) {
    idle_handler_ = std::move(handler);
  }

  bool is_open() const { return open_; }
  // Until when the server keeps the connection open while it is idle.
  Time idle_until() const { return idle_until_; }
  Time idle_since() const { return idle_since_; }

 private:
  void StartIdleWatch();
  void Read();
  void OnRead(boost::system::error_code error);
  // Feeds what has arrived to the parser; true while the exchange goes on.
  bool Parse();
  bool OnHead();
  // Passes over bytes that belong to another answer; false beyond the bound.
  bool Skip(std::size_t bytes);
  void OnWhole();
  void Fail(ExchangeEnd end = ExchangeEnd::kBroken);
  void NoteKeepAlive();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const CallProtocol& protocol_;
  boost::beast::flat_buffer buffer_;
  std::optional<AnswerParser> parser_;
  ExchangeEvents events_;
  RequestId id_;
  std::string outgoing_;
  std::function<void(bool open)> idle_handler_;
  bool open_ = false;
  bool busy_ = false;
  bool writing_ = false;
  bool reading_ = false;
  // The answer under way belongs to another call.
  bool skipping_ = false;
  bool head_told_ = false;
  // What was passed over in this exchange.
  std::size_t skipped_bytes_ = 0;
  Time idle_until_;
  Time idle_since_;
};

}  // namespace coltsfootfork
