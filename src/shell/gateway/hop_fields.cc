#include "shell/gateway/hop_fields.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>

namespace coltsfootfork {
namespace {

namespace beast = boost::beast;

constexpr const char* kHopByHopFields[] = {
    "Connection", "Keep-Alive",     "Proxy-Connection",  "TE",    "Trailer",
    "Upgrade",    "Content-Length", "Transfer-Encoding", "Expect"};

bool IsListedInConnection(const std::vector<HttpField>& fields,
                          const std::string& name) {
  for (const HttpField& field : fields) {
    if (!beast::iequals(field.name, "Connection")) continue;
    if (beast::http::token_list(field.value).exists(name)) return true;
  }
  return false;
}

bool IsHopByHopField(const std::vector<HttpField>& fields,
                     const std::string& name) {
  for (const char* hop : kHopByHopFields) {
    if (beast::iequals(name, hop)) return true;
  }
  return IsListedInConnection(fields, name);
}

}  // namespace

std::vector<HttpField> EndToEndFields(const std::vector<HttpField>& fields) {
  std::vector<HttpField> end_to_end;
  for (const HttpField& field : fields) {
    if (!IsHopByHopField(fields, field.name)) end_to_end.push_back(field);
  }
  return end_to_end;
}

}  // namespace coltsfootfork
