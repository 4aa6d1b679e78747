#include "support/http_stream.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

namespace http = boost::beast::http;

HttpStream::HttpStream(const std::string& address, const HttpRequest& request)
    : socket_(io_) {
  socket_.connect(ParseEndpoint(address).value());
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address);
  for (const HttpField& field : request.fields) {
    message.set(field.name, field.value);
  }
  message.body() = request.body;
  message.prepare_payload();
  http::write(socket_, message);
  parser_.eager(true);
  parser_.body_limit(boost::none);
}

int HttpStream::Status() {
  if (!parser_.is_header_done()) http::read_header(socket_, buffer_, parser_);
  return static_cast<int>(parser_.get().result_int());
}

std::optional<std::string> HttpStream::NextEvent() {
  Status();
  while (true) {
    const std::string& body = parser_.get().body();
    const std::size_t end = body.find("\n\n", taken_);
    if (end != std::string::npos) {
      const std::string event = body.substr(taken_, end - taken_);
      taken_ = end + 2;
      return event;
    }
    if (parser_.is_done()) return std::nullopt;
    boost::system::error_code error;
    http::read_some(socket_, buffer_, parser_, error);
    if (error) return std::nullopt;
  }
}

void HttpStream::Abandon() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace coltsfootfork
