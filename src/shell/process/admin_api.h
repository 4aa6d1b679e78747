#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "coltsfootfork/core/messages/control_messages.h"
#include "shell/net/http_server.h"
#include "shell/process/process_context.h"

namespace coltsfootfork {

// The HTTP interface for operators and their tools: configuration, status,
// metrics and health. Every process serves it and forwards requests about
// configuration and status to the control leader.
class AdminApi {
 public:
  // Returns true if the process accepts new work; used for /readyz.
  using ReadyCheck = std::function<bool()>;

  // Starts listening; throws boost::system::system_error on failure.
  AdminApi(ProcessContext& context, ReadyCheck ready);

  boost::asio::ip::tcp::endpoint local_endpoint() const {
    return server_.local_endpoint();
  }
  void Stop() { server_.Stop(); }

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  void Handle(const HttpRequest& http, const Exchange& exchange);
  bool IsOperator(const HttpRequest& http) const;
  void GetConfiguration(const Exchange& exchange);
  void PutConfigurationDocument(const HttpRequest& http,
                                const Exchange& exchange);
  void GetStatus(const Exchange& exchange);

  ProcessContext& context_;
  ReadyCheck ready_check_;
  HttpServer server_;
};

}  // namespace coltsfootfork
