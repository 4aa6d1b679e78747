#include "shell/process/caller_response.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootfork {
namespace {

using nlohmann::json;

std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string FormatEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

json FinishValue(const std::string& finish_reason) {
  return finish_reason.empty() ? json(nullptr) : json(finish_reason);
}

}  // namespace

CallerResponse::CallerResponse(std::shared_ptr<HttpExchange> exchange,
                               ResponseFormat format, bool stream,
                               RequestId request, ServiceId service)
    : exchange_(std::move(exchange)),
      format_(format),
      stream_(stream),
      request_(std::move(request)),
      service_(std::move(service)) {}

void CallerResponse::WriteToken(const std::string& text) {
  ++tokens_;
  if (!stream_) {
    text_ += text;
    return;
  }
  StartStream();
  exchange_->WriteChunk(FormatEvent(EventJson(text, "")));
}

void CallerResponse::FinishGeneration(const std::string& finish_reason,
                                      std::uint32_t prompt_tokens,
                                      std::uint32_t token_count) {
  if (stream_) {
    StartStream();
    exchange_->WriteChunk(FormatEvent(EventJson("", finish_reason)) +
                          FormatEvent("[DONE]"));
    exchange_->FinishStream();
    return;
  }
  const bool chat = format_ == ResponseFormat::kChatCompletion;
  json choice = {{"index", 0}, {"finish_reason", FinishValue(finish_reason)}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  const json document = {
      {"id", request_.value()},
      {"object", chat ? "chat.completion" : "text_completion"},
      {"model", service_.value()},
      {"choices", json::array({choice})},
      {"usage",
       {{"prompt_tokens", prompt_tokens},
        {"completion_tokens", token_count},
        {"total_tokens", prompt_tokens + token_count}}}};
  exchange_->Respond({200, "application/json", {}, Dump(document)});
}

void CallerResponse::WriteStoredResponse(const StoredResponse& response) {
  exchange_->Respond(
      {response.status, response.content_type, {}, response.body});
}

void CallerResponse::WriteProblem(const Problem& problem) {
  if (!started_) return exchange_->Respond(ProblemResponse(problem));
  // The status has already been sent. The last event gives the reason, and the
  // missing last chunk marks the stream as incomplete for callers that do not
  // know the event.
  exchange_->WriteChunk(
      "event: error\n" +
      FormatEvent("{\"error\":" + ProblemText(problem) + "}"));
  exchange_->AbortStream();
}

std::string CallerResponse::EventJson(const std::string& text,
                                      const std::string& finish_reason) const {
  const bool chat = format_ == ResponseFormat::kChatCompletion;
  json choice = {{"index", 0}, {"finish_reason", FinishValue(finish_reason)}};
  if (chat) {
    choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  return Dump({{"id", request_.value()},
               {"object", chat ? "chat.completion.chunk" : "text_completion"},
               {"model", service_.value()},
               {"choices", json::array({choice})}});
}

void CallerResponse::StartStream() {
  if (started_) return;
  started_ = true;
  exchange_->StartStream(
      {200, "text/event-stream", {{"Cache-Control", "no-store"}}, {}});
}

}  // namespace coltsfootfork
