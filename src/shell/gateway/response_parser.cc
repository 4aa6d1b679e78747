#include "shell/gateway/response_parser.h"

#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::uint32_t kMaxHeaderBytes = 32U << 10U;

}  // namespace

ResponseParser::ResponseParser() {
  head_.status = 0;
  header_limit(kMaxHeaderBytes);
  // The length of a stream is not known in advance. Callers of TakeBody limit
  // the memory.
  body_limit(boost::none);
  eager(true);
}

std::string ResponseParser::TakeBody() { return std::exchange(body_, {}); }

void ResponseParser::on_request_impl(boost::beast::http::verb /*method*/,
                                     Text /*method_text*/, Text /*target*/,
                                     int /*version*/, Error& /*error*/) {}

void ResponseParser::on_response_impl(int code, Text /*reason*/,
                                      int /*version*/, Error& /*error*/) {
  head_.status = code;
}

void ResponseParser::on_field_impl(boost::beast::http::field /*name*/,
                                   Text name_text, Text value,
                                   Error& /*error*/) {
  if (boost::beast::iequals(name_text, "Content-Type")) {
    head_.content_type = std::string(value);
    return;
  }
  head_.fields.push_back({std::string(name_text), std::string(value)});
}

void ResponseParser::on_header_impl(Error& /*error*/) {}

void ResponseParser::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, Error& /*error*/) {}

std::size_t ResponseParser::on_body_impl(Text body, Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

void ResponseParser::on_chunk_header_impl(std::uint64_t /*size*/,
                                          Text /*extensions*/,
                                          Error& /*error*/) {}

std::size_t ResponseParser::on_chunk_body_impl(std::uint64_t /*remain*/,
                                               Text body, Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

void ResponseParser::on_finish_impl(Error& /*error*/) {}

}  // namespace coltsfootfork
