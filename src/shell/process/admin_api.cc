#include "shell/process/admin_api.h"

#include <utility>

#include "coltsfootfork/core/configuration/sha256.h"
#include "shell/net/ip_address.h"
#include "shell/process/admin_documents.h"
#include "shell/process/problem.h"

namespace coltsfootfork {
namespace {

constexpr std::chrono::milliseconds kControlTimeout{8000};
constexpr std::size_t kMaxDocumentBodyBytes = 5U << 20U;
constexpr std::size_t kMaxChangeIdBytes = 128;

HttpLimits AdminLimits() {
  HttpLimits limits;
  limits.body_bytes = kMaxDocumentBodyBytes;
  return limits;
}

HttpResponse PlainText(int status, std::string text) {
  return {status, "text/plain; version=0.0.4", {}, std::move(text)};
}

HttpResponse BadRequest(std::string detail) {
  return ProblemResponse({Reason::kBadRequest, true, {}, std::move(detail)});
}

}  // namespace

AdminApi::AdminApi(ProcessContext& context, ReadyCheck ready)
    : context_(context),
      ready_check_(std::move(ready)),
      server_(context.io, ParseEndpoint(context.settings.admin_listen).value(),
              AdminLimits(),
              [this](const HttpRequest& http, const Exchange& exchange) {
                Handle(http, exchange);
              }) {}

void AdminApi::Handle(const HttpRequest& http, const Exchange& exchange) {
  if (http.target == "/healthz") {
    return exchange->Respond(PlainText(200, "ok\n"));
  }
  if (http.target == "/readyz") {
    return exchange->Respond(ready_check_() ? PlainText(200, "ready\n")
                                            : PlainText(503, "not ready\n"));
  }
  if (http.target == "/metrics") {
    return exchange->Respond(
        PlainText(200, context_.metrics.ToPrometheusText()));
  }
  if (!IsOperator(http)) {
    return exchange->Respond(ProblemResponse(
        {Reason::kUnauthenticated, true, {}, "an operator's bearer token"}));
  }
  if (http.target == "/admin/v1/status" && http.method == "GET") {
    return GetStatus(exchange);
  }
  if (http.target == "/admin/v1/configuration" && http.method == "GET") {
    return GetConfiguration(exchange);
  }
  if (http.target == "/admin/v1/configuration" && http.method == "PUT") {
    return PutConfigurationDocument(http, exchange);
  }
  exchange->Respond(BadRequest("there is nothing at this path"));
}

bool AdminApi::IsOperator(const HttpRequest& http) const {
  const std::string_view token = http.BearerToken();
  if (token.empty()) return false;
  const std::string digest = Sha256Hex(token);
  return EqualInConstantTime(digest, context_.settings.operator_token_sha256);
}

void AdminApi::GetConfiguration(const Exchange& exchange) {
  FetchState fetch;
  fetch.whole = true;
  context_.control.Call(
      fetch, kControlTimeout,
      [exchange](const std::optional<ControlReply>& reply) {
        exchange->Respond(ConfigurationResponse(reply));
      },
      MonotonicNow());
}

void AdminApi::PutConfigurationDocument(const HttpRequest& http,
                                        const Exchange& exchange) {
  const auto expected = ParseRevision(http.Field("If-Match"));
  if (!expected) {
    return exchange->Respond(
        BadRequest("If-Match: must be the revision that the change is based "
                   "on, 0 for the first"));
  }
  const std::string_view change_id = http.Field("Change-Id");
  if (change_id.empty() || change_id.size() > kMaxChangeIdBytes) {
    return exchange->Respond(BadRequest("Change-Id: must be 1 to " +
                                        std::to_string(kMaxChangeIdBytes) +
                                        " bytes that name this change"));
  }
  PutConfiguration put;
  put.expected = *expected;
  put.change_id = std::string(change_id);
  put.document = http.body;
  context_.control.Call(
      put, kControlTimeout,
      [exchange](const std::optional<ControlReply>& reply) {
        exchange->Respond(PutResponse(reply));
      },
      MonotonicNow());
}

void AdminApi::GetStatus(const Exchange& exchange) {
  context_.control.Call(
      ReadStatus{}, kControlTimeout,
      [exchange](const std::optional<ControlReply>& reply) {
        exchange->Respond(StatusResponse(reply));
      },
      MonotonicNow());
}

}  // namespace coltsfootfork
