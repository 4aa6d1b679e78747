#include "cli/admin_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "cli/files.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kTimeout{10000};
constexpr std::chrono::milliseconds kRetryDelay{500};
constexpr int kMaxAttempts = 10;
constexpr int kUnavailable = 503;

void SleepBeforeRetry() {
  boost::asio::io_context io;
  boost::asio::steady_timer timer(io, kRetryDelay);
  timer.wait();
}

}  // namespace

AdminClient::AdminClient(const std::string& address,
                         const std::string& token_file)
    : token_(token_file.empty() ? "" : ReadSecretFile(token_file)) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw std::runtime_error(address + ": must be an IP number and a port");
  }
  server_ = *endpoint;
}

HttpFetchResult AdminClient::Fetch(const std::string& method,
                                   const std::string& target,
                                   std::vector<HttpField> fields,
                                   std::string body) const {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.fields = std::move(fields);
  if (!token_.empty()) {
    request.fields.push_back({"Authorization", "Bearer " + token_});
  }
  request.body = std::move(body);
  HttpFetchResult result;
  boost::asio::io_context io;
  HttpFetch(io, server_, request, kTimeout, [&result](HttpFetchResult fetched) {
    result = std::move(fetched);
  });
  io.run();
  return result;
}

HttpFetchResult AdminClient::FetchWithRetries(
    const std::string& method, const std::string& target,
    const std::vector<HttpField>& fields, const std::string& body) const {
  HttpFetchResult result;
  for (int i = 0; i < kMaxAttempts; ++i) {
    if (i > 0) SleepBeforeRetry();
    result = Fetch(method, target, fields, body);
    if (result.response && result.response->status != kUnavailable) break;
  }
  return result;
}

std::string FieldOf(const HttpResponse& response, const std::string& name) {
  for (const HttpField& field : response.fields) {
    if (boost::beast::iequals(field.name, name)) return field.value;
  }
  return {};
}

}  // namespace coltsfootfork
