#include "shell/net/message_serializer.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <string_view>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kLineEnd = "\r\n";

bool IsControl(unsigned char byte) {
  constexpr unsigned char kDelete = 0x7f;
  return (byte < ' ' && byte != '\t') || byte == kDelete;
}

void AppendField(std::string_view name, std::string_view value,
                 std::string& text) {
  text += name;
  text += ": ";
  const std::size_t begin = text.size();
  text += value;
  std::replace_if(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(),
                  IsControl, ' ');
  text += kLineEnd;
}

void AppendFields(const std::vector<HttpField>& fields, std::string& text) {
  for (const HttpField& field : fields) {
    AppendField(field.name, field.value, text);
  }
}

bool HasBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

bool AllowsBody(int status) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= kFirstFinalStatus && status != kNoContent &&
         status != kNotModified;
}

// Returns the head of a response without the blank line at its end.
std::string HeadLines(const HttpResponse& head, bool keep_alive) {
  std::string text(kVersion);
  text += ' ';
  text += std::to_string(head.status);
  text += ' ';
  const auto reason = http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(head.status)));
  text.append(reason.data(), reason.size());
  text += kLineEnd;
  if (!head.content_type.empty()) {
    AppendField("Content-Type", head.content_type, text);
  }
  AppendFields(head.fields, text);
  if (!keep_alive) AppendField("Connection", "close", text);
  return text;
}

}  // namespace

std::string SerializeRequest(const HttpRequest& request,
                             const std::vector<HttpField>& fields) {
  std::string text = request.method;
  text += ' ';
  text += request.target;
  text += ' ';
  text += kVersion;
  text += kLineEnd;
  AppendFields(fields, text);
  if (HasBody(request)) {
    AppendField("Content-Length", std::to_string(request.body.size()), text);
  }
  text += kLineEnd;
  text += request.body;
  return text;
}

std::string SerializeResponse(const HttpResponse& response, bool keep_alive) {
  std::string text = HeadLines(response, keep_alive);
  if (!AllowsBody(response.status)) return text += kLineEnd;
  AppendField("Content-Length", std::to_string(response.body.size()), text);
  text += kLineEnd;
  text += response.body;
  return text;
}

std::string SerializeChunkedHead(const HttpResponse& head, bool keep_alive) {
  std::string text = HeadLines(head, keep_alive);
  AppendField("Transfer-Encoding", "chunked", text);
  return text += kLineEnd;
}

}  // namespace coltsfootfork
