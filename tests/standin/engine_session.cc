#include "standin/engine_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace coltsfootfork::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n";

}  // namespace

EngineSession::EngineSession(EngineServer& server, asio::ip::tcp::socket socket)
    : server_(server),
      socket_(std::move(socket)),
      late_(socket_.get_executor()) {
  socket_.set_option(asio::ip::tcp::no_delay(true));
}

EngineSession::~EngineSession() = default;

void EngineSession::Read() {
  request_ = {};
  http::async_read(socket_, buffer_, request_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (!error) self->Handle();
                   });
}

void EngineSession::Handle() {
  try {
    if (EngineServer::IsStream(request_)) return Stream();
    const Answer answer = server_.Call(request_);
    late_.expires_after(answer.body.contains("run")
                            ? server_.Lateness()
                            : std::chrono::milliseconds(0));
    late_.async_wait([self = shared_from_this(), answer](error_code) {
      self->Reply(answer);
    });
  } catch (const std::exception& error) {
    Reply({400, {{"problem", error.what()}}});
  }
}

void EngineSession::Stream() {
  pending_ = kStreamHead;
  std::weak_ptr<EngineSession> weak = weak_from_this();
  const Answer answer = server_.StartStream(
      request_,
      [weak](const std::string& event, bool last) {
        if (auto self = weak.lock()) self->Push(event, last);
      },
      &started_);
  if (answer.status != 200) return Reply(answer);
  late_.expires_after(server_.Lateness());
  late_.async_wait([self = shared_from_this()](error_code) {
    self->held_back_ = false;
    self->Write();
  });
  WatchLink();
}

void EngineSession::Reply(const Answer& answer) {
  auto response = std::make_shared<http::response<http::string_body>>(
      static_cast<http::status>(answer.status), 11);
  response->keep_alive(request_.keep_alive());
  if (answer.status != 204) {
    response->set(http::field::content_type, "application/json");
    response->body() = answer.body.dump();
  }
  response->prepare_payload();
  server_.SessionOpened();
  http::async_write(
      socket_, *response,
      [self = shared_from_this(), response](error_code error, std::size_t) {
        self->server_.SessionClosed();
        if (!error && response->keep_alive()) self->Read();
      });
}

void EngineSession::Push(const std::string& event, bool last) {
  pending_ += event;
  last_ = last_ || last;
  Write();
}

void EngineSession::Write() {
  if (held_back_ || !writing_.empty() || pending_.empty()) return;
  writing_.swap(pending_);
  server_.SessionOpened();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->server_.SessionClosed();
                      self->writing_.clear();
                      if (error) return;
                      self->Write();
                      if (self->last_ && self->writing_.empty()) {
                        self->socket_.shutdown(
                            asio::ip::tcp::socket::shutdown_both, error);
                      }
                    });
}

void EngineSession::WatchLink() {
  socket_.async_read_some(
      asio::buffer(&watched_, 1),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (!error) return self->WatchLink();
        if (self->last_) return;
        self->server_.Detach(self->started_.first, self->started_.second);
      });
}

}  // namespace coltsfootfork::standin
