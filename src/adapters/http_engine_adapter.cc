#include "coltsfootfork/adapters/http_engine_adapter.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "adapters/engine_call.h"
#include "adapters/engine_decoders.h"
#include "adapters/engine_port.h"
#include "adapters/engine_requests.h"
#include "adapters/http_call.h"
#include "shell/net/ip_address.h"

namespace coltsfootfork {

using boost::asio::ip::tcp;

class HttpEngineAdapter::Impl
    : public std::enable_shared_from_this<HttpEngineAdapter::Impl> {
 public:
  Impl(boost::asio::io_context& io, const HttpEngineAdapterOptions& options,
       MessageHandler on_message, FindingHandler on_finding)
      : io_(io),
        options_(options),
        on_message_(std::move(on_message)),
        on_finding_(std::move(on_finding)) {}

  void Listen() {
    const tcp::endpoint listen(
        boost::asio::ip::make_address(options_.listen_ip),
        options_.listen_port);
    const EnginePortLimits limits{options_.port_timeout,
                                  options_.max_port_body_bytes,
                                  options_.max_port_connections};
    port_ = std::make_shared<EnginePort>(
        io_, listen, limits,
        [this](std::string_view target, std::string_view body,
               Findings* findings) { OnPortCall(target, body, findings); });
    port_->Accept();
  }

  void Close() {
    closed_ = true;
    port_->Close();
    for (auto& [key, call] : calls_) call.http->Close();
    for (auto& [id, call] : short_calls_) call->Close();
  }

  void Send(AgentToEngine message) {
    if (auto* submit = std::get_if<EngineSubmit>(&message)) {
      Submit(std::move(submit->dispatch));
    } else if (auto* cancel = std::get_if<EngineCancel>(&message)) {
      Cancel(*cancel);
    } else {
      Order(std::get<EngineOrder>(message));
    }
  }

  std::string listen_address() const { return port_->address(); }
  std::size_t open_calls() const { return calls_.size() + short_calls_.size(); }

 private:
  // Identifies a dispatch. A later dispatch with the same key replaces the
  // earlier one.
  using CallKey = std::pair<RequestId, Generation>;
  struct OpenCall {
    std::shared_ptr<EngineCall> engine;
    std::shared_ptr<HttpCall> http;
  };

  void Emit(EngineToAgent message) {
    if (!closed_) on_message_(std::move(message));
  }
  void Report(const Finding& finding) {
    if (!closed_) on_finding_(finding);
  }
  // Sends a message that is known immediately from the event loop, because the
  // handler must not be called from within Send().
  void EmitAsync(EngineToAgent message) {
    boost::asio::post(
        io_, [weak = weak_from_this(), message = std::move(message)]() mutable {
          if (auto self = weak.lock()) self->Emit(std::move(message));
        });
  }

  void OnPortCall(std::string_view target, std::string_view body,
                  Findings* findings) {
    if (findings->empty()) Decode(target, body, findings);
    for (const Finding& finding : findings->list()) {
      Report({"engine port " + std::string(target) + finding.place,
              finding.problem});
    }
  }

  void Decode(std::string_view target, std::string_view body,
              Findings* findings) {
    if (target == "/engine/v1/announce") {
      auto announced = DecodeAnnounce(body, findings);
      if (!announced) return;
      server_endpoint_ = ParseEndpoint(announced->address);
      host_header_ = announced->address;
      Emit(std::move(announced->message));
    } else if (target == "/engine/v1/load") {
      if (auto load = DecodeLoad(body, findings)) Emit(*load);
    } else if (target == "/engine/v1/cache-events") {
      if (auto hint = DecodeCacheEvents(body, findings)) {
        Emit(*std::move(hint));
      }
    } else {
      findings->Add("", "is no path of the engine port");
    }
  }

  void Submit(Dispatch dispatch) {
    const CallKey key(dispatch.request, dispatch.generation);
    CloseCall(key);
    if (!IsSafeForHttp(dispatch)) {
      return EmitAsync(EngineRefused{key.first, key.second});
    }
    if (!server_endpoint_) {
      return EmitAsync(EngineInterrupted{key.first, key.second, true});
    }
    auto call = std::make_shared<EngineCall>(
        dispatch, options_.max_response_bytes, options_.max_event_bytes,
        [this](EngineToAgent message) { Emit(std::move(message)); },
        [this](const Finding& finding) { Report(finding); });
    HttpCallHandlers handlers;
    handlers.on_head = [call](const HttpResponse& head) { call->OnHead(head); };
    handlers.on_body = [call](std::string_view bytes) {
      return call->OnBody(bytes);
    };
    handlers.on_end = [this, call, key](HttpCallResult end) {
      calls_.erase(key);
      call->OnEnd(end);
    };
    auto http = Start(MakeRunRequest(std::move(dispatch), host_header_),
                      std::move(handlers));
    calls_[key] = {call, http};
  }

  std::shared_ptr<HttpCall> Start(HttpCallRequest request,
                                  HttpCallHandlers handlers) {
    const HttpCallLimits limits{options_.connect_timeout,
                                options_.idle_timeout};
    auto call = std::make_shared<HttpCall>(io_, std::move(request), limits,
                                           std::move(handlers));
    call->Start(*server_endpoint_);
    return call;
  }

  void CloseCall(const CallKey& key) {
    const auto call = calls_.find(key);
    if (call == calls_.end()) return;
    call->second.engine->Stop();
    call->second.http->Close();
    calls_.erase(call);
  }

  void Cancel(const EngineCancel& cancel) {
    CloseCall({cancel.request, cancel.generation});
    if (!server_endpoint_) return;
    // The result is ignored: if the cancellation fails, the server detects that
    // the connection of the request was closed.
    StartShortCall(MakeCancelRequest(cancel, host_header_),
                   [](HttpCallResult, const std::string&) {});
  }

  void Order(const EngineOrder& order) {
    if (!server_endpoint_) {
      return EmitAsync(
          EngineOrderResult{order.fence, false, "no server is announced"});
    }
    StartShortCall(
        MakeOrderRequest(order, host_header_),
        [this, fence = order.fence](HttpCallResult end,
                                    const std::string& body) {
          if (end == HttpCallResult::kComplete) {
            return Emit(DecodeOrderResult(fence, body));
          }
          Emit(EngineOrderResult{fence, false, "the server did not answer"});
        });
  }

  // Starts a call whose short response is buffered completely.
  void StartShortCall(
      HttpCallRequest request,
      std::function<void(HttpCallResult, const std::string&)> on_response) {
    const std::uint64_t id = ++last_short_call_;
    auto body = std::make_shared<std::string>();
    HttpCallHandlers handlers;
    handlers.on_head = [](const HttpResponse&) {};
    handlers.on_body =
        [body, max = options_.max_event_bytes](std::string_view bytes) {
          body->append(bytes);
          return body->size() <= max;
        };
    handlers.on_end = [this, id, body,
                       on_short_response =
                           std::move(on_response)](HttpCallResult end) {
      short_calls_.erase(id);
      on_short_response(end, *body);
    };
    short_calls_[id] = Start(std::move(request), std::move(handlers));
  }

  boost::asio::io_context& io_;
  const HttpEngineAdapterOptions options_;
  MessageHandler on_message_;
  FindingHandler on_finding_;
  std::shared_ptr<EnginePort> port_;
  std::optional<tcp::endpoint> server_endpoint_;
  std::string host_header_;
  std::map<CallKey, OpenCall> calls_;
  std::map<std::uint64_t, std::shared_ptr<HttpCall>> short_calls_;
  std::uint64_t last_short_call_ = 0;
  bool closed_ = false;
};

HttpEngineAdapter::HttpEngineAdapter(boost::asio::io_context& io,
                                     const HttpEngineAdapterOptions& options,
                                     MessageHandler on_message,
                                     FindingHandler on_finding)
    : impl_(std::make_shared<Impl>(io, options, std::move(on_message),
                                   std::move(on_finding))) {
  impl_->Listen();
}

HttpEngineAdapter::~HttpEngineAdapter() { impl_->Close(); }

void HttpEngineAdapter::Send(AgentToEngine message) {
  impl_->Send(std::move(message));
}

std::string HttpEngineAdapter::listen_address() const {
  return impl_->listen_address();
}

std::size_t HttpEngineAdapter::open_calls() const {
  return impl_->open_calls();
}

}  // namespace coltsfootfork
