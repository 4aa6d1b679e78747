#include "shell/serving/metrics_page.h"

#include <utility>

#include "shell/net/ip_address.h"

namespace coltsfootfork {

MetricsPage::MetricsPage(boost::asio::io_context& io, const std::string& listen,
                         std::function<std::string()> text,
                         std::shared_ptr<ConnectionTable> connections) {
  if (listen.empty()) return;
  server_ = std::make_unique<HttpServer>(
      io, ParseEndpoint(listen).value(), HttpLimits(),
      [text = std::move(text)](const HttpRequest& /*request*/,
                               const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Respond({200, "text/plain", {}, text()});
      },
      std::move(connections));
}

}  // namespace coltsfootfork
