#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "shell/net/lifetime.h"

namespace coltsfootfork {

struct HttpField {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method;
  // Path and query as the caller sent them.
  std::string target;
  std::vector<HttpField> fields;
  std::string body;

  // Returns the value of the first field with this name, ignoring case, or an
  // empty view if there is none.
  std::string_view Field(std::string_view name) const;

  // Returns the bearer token of the Authorization field, or an empty view if
  // there is none.
  std::string_view BearerToken() const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type;
  std::vector<HttpField> fields;
  std::string body;

  // Returns the value of the first field with this name, ignoring case, or an
  // empty view if there is none.
  std::string_view Field(std::string_view name) const;
};

// One request and its response. The response is sent either at once with
// Respond, or as a stream with StartStream, WriteChunk and FinishStream. These
// functions do nothing after the caller has disconnected.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual void Respond(HttpResponse response) = 0;
  // Starts a chunked response with the status, content type and fields of head.
  virtual void StartStream(HttpResponse head) = 0;
  virtual void WriteChunk(std::string_view bytes) = 0;
  virtual void FinishStream() = 0;
  // Closes the connection without the last chunk, so that the caller detects an
  // incomplete response.
  virtual void AbortStream() = 0;
  // Closes the connection at once, discards what is not yet written, and logs
  // that the caller reads too slowly; `allowed_bytes` is what may be held for
  // it.
  virtual void EndSlowCaller(std::size_t allowed_bytes) = 0;
  // Whether the connection was closed since the caller reads too slowly.
  virtual bool is_slow_caller() const = 0;
  // Response bytes that are queued and not yet written to the socket.
  virtual std::size_t backlog_bytes() const = 0;
  // Sets a handler that is called whenever the backlog has shrunk; null for
  // none.
  virtual void OnBacklogShrunk(std::function<void()> handler) = 0;
  // Sets a handler that is called once if the caller disconnects before the
  // response is complete.
  virtual void OnCallerDisconnected(std::function<void()> handler) = 0;
};

struct HttpLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 1U << 20U;
  // Maximum time to receive a request's head.
  std::chrono::milliseconds header_timeout{30000};
  // Maximum time to receive the rest of a request after its head.
  std::chrono::milliseconds body_timeout{30000};
  // Maximum time that a connection may be idle before a request.
  std::chrono::milliseconds idle_timeout{30000};
  // Maximum time that a caller may read nothing of a response; after that its
  // connection is closed.
  std::chrono::seconds write_timeout{30};
};

class ConnectionTable;
class HttpSession;

// Accepts HTTP/1.1 connections and passes each request to one handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request,
                                     std::shared_ptr<HttpExchange> exchange)>;

  // Starts listening; throws boost::system::system_error on failure. The
  // servers of a process share a table of connections, which limits them; by
  // default the server has its own.
  HttpServer(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& listen, HttpLimits limits,
             Handler handler,
             std::shared_ptr<ConnectionTable> connections = nullptr);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The listening address, with the port that the kernel chose for port 0.
  boost::asio::ip::tcp::endpoint local_endpoint() const;
  // Applies to new connections and to requests read after this call.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  // Makes every further response the last one of its connection.
  void EndKeepAlive() { keep_alive_ = false; }
  // Stops accepting connections, closes the idle ones, and closes those on
  // which a request has begun to arrive when its response has been written.
  void Stop();
  std::size_t open_connections() const { return sessions_.size(); }

 private:
  friend class HttpSession;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  HttpLimits limits_;
  Handler handler_;
  std::shared_ptr<ConnectionTable> connections_;
  bool stopping_ = false;
  bool keep_alive_ = true;
  std::set<HttpSession*> sessions_;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
