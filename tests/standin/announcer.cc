#include "standin/announcer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace coltsfootfork::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::chrono::milliseconds kInterval{500};
constexpr std::chrono::seconds kPostTimeout{2};

// One call to one agent; a failure is made good by the next round.
struct PostCall : std::enable_shared_from_this<PostCall> {
  explicit PostCall(asio::io_context& io) : stream(io) {}

  void Run(const std::string& agent) {
    const auto colon = agent.rfind(':');
    request.set(http::field::host, agent);
    request.set(http::field::content_type, "application/json");
    request.prepare_payload();
    stream.expires_after(kPostTimeout);
    stream.async_connect(
        {asio::ip::make_address(agent.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoul(agent.substr(colon + 1)))},
        [self = shared_from_this()](error_code error) {
          if (!error) self->Write();
        });
  }

  void Write() {
    http::async_write(
        stream, request,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (!error) self->Read();
        });
  }

  void Read() {
    http::async_read(stream, buffer, response,
                     [self = shared_from_this()](error_code, std::size_t) {});
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

}  // namespace

Announcer::Announcer(asio::io_context& io, EngineServer& server,
                     const StandinOptions& options)
    : io_(io), server_(server), options_(options), timer_(io) {}

void Announcer::Post(const std::string& target, const nlohmann::json& body) {
  for (const std::string& agent : options_.agents) {
    auto call = std::make_shared<PostCall>(io_);
    call->request = {http::verb::post, target, 11, body.dump()};
    call->request.keep_alive(false);
    call->Run(agent);
  }
}

void Announcer::Announce() {
  const Now now = std::chrono::steady_clock::now();
  Post("/engine/v1/announce", server_.AnnounceBody());
  loads_.emplace_back(now, server_.LoadBody());
  while (!loads_.empty() && loads_.front().first + options_.load_lag <= now) {
    Post("/engine/v1/load", loads_.front().second);
    loads_.pop_front();
  }
  for (const CacheEvent& event : server_.model().TakeCacheEvents()) {
    Post("/engine/v1/cache-events", {{"sequence", event.sequence},
                                     {"added_blocks", event.added},
                                     {"removed_blocks", event.removed}});
  }
  timer_.expires_after(kInterval);
  timer_.async_wait([this](error_code error) {
    if (!error) Announce();
  });
}

}  // namespace coltsfootfork::standin
