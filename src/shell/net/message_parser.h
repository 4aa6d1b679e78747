#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "shell/net/http_server.h"

namespace coltsfootfork {

// Parses one HTTP/1.1 message incrementally. The bytes of the body are
// available as they arrive, independent of their framing. Trailer fields are
// discarded.
//
// Besides what the parser of Boost.Beast rejects, these are errors: a transfer
// coding that is not exactly "chunked", or that is used in HTTP/1.0
// (bad_transfer_encoding), a field that is continued on another line
// (bad_obs_fold), and a status that no response may have (bad_status).
template <bool is_request>
class MessageParser : public boost::beast::http::basic_parser<is_request> {
 public:
  // Returns the bytes of the body that were parsed since the last call.
  std::string TakeBody();
  std::size_t body_bytes() const { return body_.size(); }
  // After bad_transfer_encoding: the end of the body would have been known.
  bool has_unsupported_coding() const { return has_unsupported_coding_; }

 protected:
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  // Trailer fields are limited only by the buffer of the reader.
  explicit MessageParser(std::size_t max_head_bytes);

  // `version` is 11 for HTTP/1.1.
  void SetVersion(int version) { version_ = version; }
  void on_header_impl(Error& error) override;

  // The fields of the head.
  std::vector<HttpField> fields_;
  std::string body_;

 private:
  void on_request_impl(boost::beast::http::verb method, Text method_text,
                       Text target, int version, Error& error) override;
  void on_response_impl(int code, Text reason, int version,
                        Error& error) override;
  void on_field_impl(boost::beast::http::field name, Text name_text, Text value,
                     Error& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Error& error) override;
  std::size_t on_body_impl(Text body, Error& error) override;
  void on_chunk_header_impl(std::uint64_t size, Text extensions,
                            Error& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain, Text body,
                                 Error& error) override;
  void on_finish_impl(Error& error) override;

  int version_ = 0;
  bool has_head_ = false;
  // The values of the Transfer-Encoding fields, each followed by a comma.
  std::string transfer_encoding_;
  bool has_unsupported_coding_ = false;
};

class RequestParser : public MessageParser<true> {
 public:
  // Larger requests are errors: header_limit, and body_limit for the body.
  RequestParser(std::size_t max_head_bytes, std::size_t max_body_bytes);

  // Returns the request, once it is_done().
  HttpRequest TakeRequest();

 private:
  void on_request_impl(boost::beast::http::verb method, Text method_text,
                       Text target, int version, Error& error) override;

  HttpRequest request_;
};

// The length of a stream is not known in advance, so the size of the body is
// not limited by default.
class ResponseParser : public MessageParser<false> {
 public:
  ResponseParser();

  // The status and header fields, valid once is_header_done(). The body is
  // empty, and the content type is not among the fields.
  const HttpResponse& head() const { return head_; }
  // Returns whether the final response follows this one.
  bool is_interim() const;

 private:
  void on_response_impl(int code, Text reason, int version,
                        Error& error) override;
  void on_header_impl(Error& error) override;

  HttpResponse head_;
};

}  // namespace coltsfootfork
