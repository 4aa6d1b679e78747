#include "shell/gateway/answer_parser.h"

#include <utility>

namespace coltsfootfork {
namespace {

// Streams have no end that is known ahead; memory is bounded by who takes the
// bytes out.
constexpr std::uint32_t kHeaderBytes = 32U << 10U;

}  // namespace

AnswerParser::AnswerParser() {
  head_.status = 0;
  header_limit(kHeaderBytes);
  body_limit(boost::none);
  eager(true);
}

std::string AnswerParser::TakeBody() { return std::exchange(body_, {}); }

void AnswerParser::on_request_impl(boost::beast::http::verb /*method*/,
                                   Text /*method_text*/, Text /*target*/,
                                   int /*version*/, Error& /*error*/) {}

void AnswerParser::on_response_impl(int code, Text /*reason*/, int /*version*/,
                                    Error& /*error*/) {
  head_.status = code;
}

void AnswerParser::on_field_impl(boost::beast::http::field /*name*/,
                                 Text name_text, Text value, Error& /*error*/) {
  if (boost::beast::iequals(name_text, "Content-Type")) {
    head_.content_type = std::string(value);
    return;
  }
  head_.fields.push_back({std::string(name_text), std::string(value)});
}

void AnswerParser::on_header_impl(Error& /*error*/) {}

void AnswerParser::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, Error& /*error*/) {}

std::size_t AnswerParser::on_body_impl(Text body, Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

void AnswerParser::on_chunk_header_impl(std::uint64_t /*size*/,
                                        Text /*extensions*/, Error& /*error*/) {
}

std::size_t AnswerParser::on_chunk_body_impl(std::uint64_t /*remain*/,
                                             Text body, Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

void AnswerParser::on_finish_impl(Error& /*error*/) {}

}  // namespace coltsfootfork
