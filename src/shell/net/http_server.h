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
  // Path and query as sent.
  std::string target;
  std::vector<HttpField> fields;
  std::string body;

  // The value of the first field of that name, in any case; else empty.
  std::string_view Field(std::string_view name) const;

  // The bearer token of the Authorization field; empty where there is none.
  std::string_view BearerToken() const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type;
  std::vector<HttpField> fields;
  std::string body;
};

// One request and its answer. It is either answered whole by Respond, or as a
// stream by StartStream, WriteChunk and FinishStream. Calls after the caller
// has gone are ignored.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual void Respond(HttpResponse response) = 0;
  // Begins a stream with the head's status, content type and fields.
  virtual void StartStream(HttpResponse head) = 0;
  virtual void WriteChunk(std::string_view bytes) = 0;
  virtual void FinishStream() = 0;
  // Ends a stream so that the caller sees that it is not whole.
  virtual void AbortStream() = 0;
  // Bytes of a stream that the caller has not yet taken.
  virtual std::size_t backlog_bytes() const = 0;
  // Called once when the caller goes away before the answer is whole.
  virtual void OnCallerDisconnected(std::function<void()> handler) = 0;
};

struct HttpLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 1U << 20U;
  // How long a connection may take to send a request.
  std::chrono::milliseconds read_timeout{30000};
  // How long it may stay idle before a request.
  std::chrono::milliseconds idle_timeout{30000};
  // How long one write may stand still before the caller counts as gone.
  std::chrono::seconds write_timeout{30};
};

class HttpSession;

// Accepts HTTP/1.1 connections and hands each request to one handler.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest request,
                                     std::shared_ptr<HttpExchange> exchange)>;

  // Listens at once; throws boost::system::system_error when it cannot.
  HttpServer(boost::asio::io_context& io,
             const boost::asio::ip::tcp::endpoint& listen, HttpLimits limits,
             Handler handler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The address in use, with the port that the kernel chose.
  boost::asio::ip::tcp::endpoint local_endpoint() const;
  // For connections and requests from now on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  // From now on each answer is the last one of its connection.
  void EndKeepAlive() { keep_alive_ = false; }
  // Takes no new connection, closes idle ones, and closes the others once
  // their answer is written.
  void Stop();
  // Connections that are still open.
  std::size_t open_connections() const { return sessions_.size(); }

 private:
  friend class HttpSession;

  void Accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  HttpLimits limits_;
  Handler handler_;
  bool stopping_ = false;
  bool keep_alive_ = true;
  std::set<HttpSession*> sessions_;
  Lifetime lifetime_;
};

}  // namespace coltsfootfork
