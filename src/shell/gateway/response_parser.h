#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <string>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Parses one response of a server incrementally. The bytes of the body are
// available as they arrive, independent of their framing.
class ResponseParser : public boost::beast::http::basic_parser<false> {
 public:
  ResponseParser();

  // The status and header fields, valid once is_header_done(). The body is
  // empty.
  const HttpResponse& head() const { return head_; }
  // Returns the bytes of the body that were parsed since the last call.
  std::string TakeBody();

 private:
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb method, Text method_text,
                       Text target, int version, Error& error) override;
  void on_response_impl(int code, Text reason, int version,
                        Error& error) override;
  void on_field_impl(boost::beast::http::field name, Text name_text, Text value,
                     Error& error) override;
  void on_header_impl(Error& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Error& error) override;
  std::size_t on_body_impl(Text body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t size, Text extensions,
                            Error& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, Text body,
                                 Error& error) override;
  void on_finish_impl(Error& error) override;

  HttpResponse head_;
  std::string body_;
};

}  // namespace coltsfootfork
