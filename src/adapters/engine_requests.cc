#include "adapters/engine_requests.h"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace coltsfootfork {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned kHttp11 = 11;

bool IsPrintable(std::string_view text, bool allow_space) {
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return (c > ' ' && c < 0x7f) || (c == ' ' && allow_space);
  });
}

HttpCallRequest MakePost(const std::string& target, const std::string& host,
                         std::string body) {
  HttpCallRequest request(http::verb::post, target, kHttp11, std::move(body));
  request.set(http::field::host, host);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.prepare_payload();
  return request;
}

std::string JoinBlocks(const std::vector<std::uint64_t>& blocks) {
  std::string text;
  for (std::uint64_t block : blocks) {
    if (!text.empty()) text += ',';
    text += std::to_string(block);
  }
  return text;
}

}  // namespace

bool IsSafeForHttp(const Dispatch& dispatch) {
  return IsPrintable(dispatch.request.value(), false) &&
         IsPrintable(dispatch.method, false) &&
         IsPrintable(dispatch.target, false) && !dispatch.target.empty() &&
         IsPrintable(dispatch.content_type, true);
}

HttpCallRequest MakeRunRequest(Dispatch dispatch, const std::string& host) {
  if (dispatch.first_index > 0) {
    return MakePost("/engine/v1/resume", host,
                    json{{"request", dispatch.request.value()},
                         {"generation", dispatch.generation},
                         {"from_index", dispatch.first_index}}
                        .dump());
  }
  HttpCallRequest request =
      MakePost(dispatch.target, host, std::move(dispatch.body));
  if (!dispatch.method.empty()) request.method_string(dispatch.method);
  if (!dispatch.content_type.empty()) {
    request.set(http::field::content_type, dispatch.content_type);
  }
  request.set("X-Request-Id", dispatch.request.value());
  request.set("X-Generation", std::to_string(dispatch.generation));
  request.set("X-Priority", std::to_string(RankIndex(dispatch.rank)));
  if (!dispatch.prefix_blocks.empty()) {
    request.set("X-Prefix-Blocks", JoinBlocks(dispatch.prefix_blocks));
  }
  return request;
}

HttpCallRequest MakeCancelRequest(const EngineCancel& cancel,
                                  const std::string& host) {
  return MakePost("/engine/v1/cancel", host,
                  json{{"request", cancel.request.value()},
                       {"generation", cancel.generation}}
                      .dump());
}

HttpCallRequest MakeOrderRequest(const EngineOrder& order,
                                 const std::string& host) {
  return MakePost("/engine/v1/orders", host,
                  json{{"term", order.fence.term},
                       {"sequence", order.fence.sequence},
                       {"action", order.action},
                       {"subject", order.subject},
                       {"version", order.version}}
                      .dump(-1, ' ', false, json::error_handler_t::replace));
}

}  // namespace coltsfootfork
