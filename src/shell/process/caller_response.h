#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "coltsfootfork/core/messages/control_messages.h"
#include "coltsfootfork/core/types/ids.h"
#include "shell/net/http_server.h"
#include "shell/process/caller_request_reader.h"
#include "shell/process/problem.h"

namespace coltsfootfork {

// Writes the response to one caller in the requested format: a stream of
// server-sent events, one JSON document, or the response of a plain service as
// received.
class CallerResponse {
 public:
  CallerResponse(std::shared_ptr<HttpExchange> exchange, ResponseFormat format,
                 bool stream, RequestId request, ServiceId service);

  void WriteToken(const std::string& text);
  void FinishGeneration(const std::string& finish_reason,
                        std::uint32_t prompt_tokens, std::uint32_t token_count);
  void WriteStoredResponse(const StoredResponse& response);
  void WriteProblem(const Problem& problem);

  std::size_t backlog_bytes() const { return exchange_->backlog_bytes(); }
  std::uint32_t tokens() const { return tokens_; }

 private:
  std::string EventJson(const std::string& text,
                        const std::string& finish_reason) const;
  void StartStream();

  std::shared_ptr<HttpExchange> exchange_;
  ResponseFormat format_;
  bool stream_;
  RequestId request_;
  ServiceId service_;
  bool started_ = false;
  std::uint32_t tokens_ = 0;
  // The text received so far, if the response is not streamed.
  std::string text_;
};

}  // namespace coltsfootfork
