#include "shell/gateway/request_serializer.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

bool HasBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" ||
         request.method == "PUT" || request.method == "PATCH";
}

}  // namespace

std::string SerializeRequest(const HttpRequest& request,
                             const std::vector<HttpField>& fields) {
  http::request<http::empty_body> head;
  head.version(kHttp11);
  head.method_string(request.method);
  head.target(request.target);
  for (const HttpField& field : fields) head.insert(field.name, field.value);
  if (HasBody(request)) head.content_length(request.body.size());
  std::ostringstream text;
  text << head.base();
  return text.str() + request.body;
}

}  // namespace coltsfootfork
