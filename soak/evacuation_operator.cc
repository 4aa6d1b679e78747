#include "soak/evacuation_operator.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "shell/net/http_client.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOrderInterval{1000};
// The connection of an order is closed before the order is repeated.
constexpr milliseconds kOrderTimeout{950};

}  // namespace

bool EvacuationOperator::Start(const std::string& zone, Acknowledged done) {
  if (!is_idle()) return false;
  zone_ = zone;
  Send("/api/evacuations/" + zone + "/start", std::make_shared<bool>(false),
       [this, done = std::move(done)] {
         zones_ = {zone_};
         checker_.OnEvacuationStarted(zone_, std::chrono::steady_clock::now());
         done();
       });
  return true;
}

void EvacuationOperator::End(Acknowledged done) {
  checker_.OnEvacuationEnds(zone_);
  Send("/api/evacuations/" + zone_ + "/end", std::make_shared<bool>(false),
       [this, done = std::move(done)] {
         zones_.clear();
         zone_.clear();
         done();
       });
}

void EvacuationOperator::Send(const std::string& path,
                              const std::shared_ptr<bool>& acknowledged,
                              const Acknowledged& done) {
  if (*acknowledged) return;
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  const auto& control = controls_[next_control_++ % controls_.size()];
  HttpFetch(io_, ParseEndpoint(control.address).value(), request, kOrderTimeout,
            [acknowledged, done](const HttpFetchResult& result) {
              if (!result.response || result.response->status != 200) return;
              if (!std::exchange(*acknowledged, true)) done();
            });
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_);
  timer->expires_after(kOrderInterval);
  timer->async_wait(
      [this, timer, path, acknowledged, done](boost::system::error_code error) {
        if (!error) Send(path, acknowledged, done);
      });
}

}  // namespace coltsfootfork
