#include "shell/net/http_server.h"

#include <boost/beast/core/string.hpp>
#include <utility>

#include "shell/net/connection_table.h"
#include "shell/net/http_session.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
constexpr std::string_view kBearer = "Bearer ";

std::string_view FindField(const std::vector<HttpField>& fields,
                           std::string_view name) {
  for (const HttpField& field : fields) {
    if (boost::beast::iequals(
            boost::beast::string_view(field.name),
            boost::beast::string_view(name.data(), name.size()))) {
      return field.value;
    }
  }
  return {};
}

}  // namespace

std::string_view HttpRequest::Field(std::string_view name) const {
  return FindField(fields, name);
}

std::string_view HttpResponse::Field(std::string_view name) const {
  return FindField(fields, name);
}

std::string_view HttpRequest::BearerToken() const {
  const std::string_view value = Field("Authorization");
  if (value.substr(0, kBearer.size()) != kBearer) return {};
  return value.substr(kBearer.size());
}

HttpServer::HttpServer(boost::asio::io_context& io,
                       const boost::asio::ip::tcp::endpoint& listen,
                       HttpLimits limits, Handler handler,
                       std::shared_ptr<ConnectionTable> connections)
    : io_(io),
      acceptor_(io, listen, /*reuse_addr=*/true),
      accept_retry_timer_(io),
      limits_(limits),
      handler_(std::move(handler)),
      connections_(
          connections ? std::move(connections)
                      : std::make_shared<ConnectionTable>(ConnectionLimits())) {
  Accept();
}

HttpServer::~HttpServer() {
  for (HttpSession* session : sessions_) session->Detach();
}

boost::asio::ip::tcp::endpoint HttpServer::local_endpoint() const {
  return acceptor_.local_endpoint();
}

void HttpServer::Accept() {
  acceptor_.async_accept(
      lifetime_.Guard([this](boost::system::error_code error,
                             boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (stopping_) return;
        if (!error) {
          std::make_shared<HttpSession>(this, std::move(socket))->Start();
          return Accept();
        }
        // For example, no file descriptor is free: an immediate retry would
        // be a busy loop.
        accept_retry_timer_.expires_after(kAcceptRetryDelay);
        accept_retry_timer_.async_wait(
            lifetime_.Guard([this](boost::system::error_code wait_error) {
              if (!wait_error) Accept();
            }));
      }));
}

void HttpServer::Stop() {
  stopping_ = true;
  keep_alive_ = false;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  const std::set<HttpSession*> sessions = sessions_;
  for (HttpSession* session : sessions) session->CloseWhenIdle();
}

}  // namespace coltsfootfork
