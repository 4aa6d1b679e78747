#include "shell/net/message_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <string_view>
#include <utility>

#include "shell/net/http_syntax.h"

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;

// Many times the head of any engine's response.
constexpr std::size_t kMaxResponseHeadBytes = 32U << 10U;
constexpr int kHttp11 = 11;

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

template <bool is_request>
MessageParser<is_request>::MessageParser(std::size_t max_head_bytes) {
  this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      max_head_bytes, std::numeric_limits<std::uint32_t>::max())));
  this->eager(true);
}

template <bool is_request>
std::string MessageParser<is_request>::TakeBody() {
  return std::exchange(body_, {});
}

template <bool is_request>
void MessageParser<is_request>::on_request_impl(http::verb /*method*/,
                                                Text /*method_text*/,
                                                Text /*target*/,
                                                int /*version*/,
                                                Error& /*error*/) {}

template <bool is_request>
void MessageParser<is_request>::on_response_impl(int /*code*/, Text /*reason*/,
                                                 int /*version*/,
                                                 Error& /*error*/) {}

template <bool is_request>
void MessageParser<is_request>::on_field_impl(http::field name, Text name_text,
                                              Text value, Error& error) {
  if (!IsOnOneLine(View(name_text), View(value))) {
    error = http::error::bad_obs_fold;
    return;
  }
  if (has_head_) return;
  if (name == http::field::transfer_encoding) {
    transfer_encoding_ += std::string(value) + ",";
  }
  fields_.push_back({std::string(name_text), std::string(value)});
}

template <bool is_request>
void MessageParser<is_request>::on_header_impl(Error& error) {
  has_head_ = true;
  if (transfer_encoding_.empty()) return;
  const TransferCoding coding = ReadTransferCoding(transfer_encoding_);
  if (coding == TransferCoding::kChunked && this->chunked() &&
      version_ >= kHttp11) {
    return;
  }
  has_unsupported_coding_ = coding == TransferCoding::kUnsupported;
  error = http::error::bad_transfer_encoding;
}

template <bool is_request>
void MessageParser<is_request>::on_body_init_impl(
    const boost::optional<std::uint64_t>& length, Error& /*error*/) {
  // A response is taken in parts.
  if (is_request && length) body_.reserve(static_cast<std::size_t>(*length));
}

template <bool is_request>
std::size_t MessageParser<is_request>::on_body_impl(Text body,
                                                    Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

template <bool is_request>
void MessageParser<is_request>::on_chunk_header_impl(std::uint64_t /*size*/,
                                                     Text /*extensions*/,
                                                     Error& /*error*/) {}

template <bool is_request>
std::size_t MessageParser<is_request>::on_chunk_body_impl(
    std::uint64_t /*remain*/, Text body, Error& /*error*/) {
  body_.append(body.data(), body.size());
  return body.size();
}

template <bool is_request>
void MessageParser<is_request>::on_finish_impl(Error& /*error*/) {}

template class MessageParser<true>;
template class MessageParser<false>;

RequestParser::RequestParser(std::size_t max_head_bytes,
                             std::size_t max_body_bytes)
    : MessageParser(max_head_bytes) {
  body_limit(max_body_bytes);
}

HttpRequest RequestParser::TakeRequest() {
  request_.fields = std::move(fields_);
  request_.body = TakeBody();
  return std::move(request_);
}

void RequestParser::on_request_impl(http::verb /*method*/, Text method_text,
                                    Text target, int version,
                                    Error& /*error*/) {
  SetVersion(version);
  request_.method = std::string(method_text);
  request_.target = std::string(target);
}

ResponseParser::ResponseParser() : MessageParser(kMaxResponseHeadBytes) {
  head_.status = 0;
  body_limit(boost::none);
}

bool ResponseParser::is_interim() const {
  return IsInterimStatus(head_.status);
}

void ResponseParser::on_response_impl(int code, Text /*reason*/, int version,
                                      Error& error) {
  SetVersion(version);
  head_.status = code;
  if (!IsResponseStatus(code)) error = http::error::bad_status;
}

void ResponseParser::on_header_impl(Error& error) {
  MessageParser::on_header_impl(error);
  for (HttpField& field : fields_) {
    if (boost::beast::iequals(field.name, "Content-Type")) {
      head_.content_type = std::move(field.value);
    } else {
      head_.fields.push_back(std::move(field));
    }
  }
  fields_.clear();
}

}  // namespace coltsfootfork
