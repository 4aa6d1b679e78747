#pragma once

#include <optional>
#include <string>
#include <vector>

#include "shell/net/http_client.h"

namespace coltsfootfork {

// Blocking HTTP client for the administration interface of one process.
class AdminClient {
 public:
  // Without a token file, requests carry no token. Throws std::runtime_error if
  // the address is not "IP:PORT" or the token file cannot be read.
  AdminClient(const std::string& address, const std::string& token_file);

  // Sends the request once. If no response is received, the result contains the
  // error.
  HttpFetchResult Fetch(const std::string& method, const std::string& target,
                        std::vector<HttpField> fields, std::string body) const;

  // Retries the request after a delay, up to a fixed number of attempts, while
  // no response is received or its status is 503. Only for idempotent requests.
  HttpFetchResult FetchWithRetries(const std::string& method,
                                   const std::string& target,
                                   const std::vector<HttpField>& fields,
                                   const std::string& body) const;

 private:
  boost::asio::ip::tcp::endpoint server_;
  std::string token_;
};

// Returns the value of a header field of the response, or an empty string if
// there is none.
std::string FieldOf(const HttpResponse& response, const std::string& name);

}  // namespace coltsfootfork
