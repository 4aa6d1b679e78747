#pragma once

#include <optional>
#include <string>
#include <vector>

#include "shell/net/http_client.h"

namespace coltsfootfork {

// Talks to one process's administration interface and waits for each answer.
class AdminClient {
 public:
  // Throws std::runtime_error when the address is not "IP:PORT" or the token
  // file cannot be read.
  AdminClient(const std::string& address, const std::string& token_file);

  // Sends once. The result says what went wrong when no answer came.
  HttpFetchResult Fetch(const std::string& method, const std::string& target,
                        std::vector<HttpField> fields, std::string body) const;

  // Sends again, after a pause each time, while no answer comes or the answer
  // is 503. Only for requests that may be repeated.
  HttpFetchResult FetchWithRetries(const std::string& method,
                                   const std::string& target,
                                   const std::vector<HttpField>& fields,
                                   const std::string& body) const;

 private:
  boost::asio::ip::tcp::endpoint server_;
  std::string token_;
};

// A field of the answer; empty where there is none.
std::string FieldOf(const HttpResponse& response, const std::string& name);

}  // namespace coltsfootfork
