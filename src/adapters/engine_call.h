#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/event_stream_reader.h"
#include "adapters/http_call.h"
#include "coltsfootfork/core/messages/engine_messages.h"
#include "coltsfootfork/core/types/finding.h"

namespace coltsfootfork {

// Converts the HTTP response to one dispatch into messages, the last of which
// is EngineCompleted, EngineRefused or EngineInterrupted.
class EngineCall {
 public:
  using MessageHandler = std::function<void(EngineToAgent)>;
  using FindingHandler = std::function<void(const Finding&)>;

  EngineCall(const Dispatch& dispatch, std::size_t max_response_bytes,
             std::size_t max_event_bytes, MessageHandler on_message,
             FindingHandler on_finding);

  // Callbacks of the HTTP call, in this order: the head, then the body any
  // number of times, then the end. OnBody returns false to abort the call.
  void OnHead(const HttpResponse& head);
  bool OnBody(std::string_view bytes);
  void OnEnd(HttpCallResult end);
  // Suppresses all further messages, including those for bytes already read.
  void Stop() { stopped_ = true; }

 private:
  void Emit(EngineToAgent message);
  bool OnEvent(std::string_view data);
  void Report(const std::string& problem);
  void Interrupt(bool never_sent);
  void Complete();

  RequestId request_;
  Generation generation_;
  RequestKind kind_;
  bool is_resume_;
  std::size_t max_response_bytes_;
  EventStreamReader events_;
  MessageHandler on_message_;
  FindingHandler on_finding_;
  bool stopped_ = false;
  int status_ = 0;
  std::string content_type_;
  // The response has a length or chunks.
  bool is_delimited_ = false;
  bool is_stream_ = false;
  bool stopped_by_event_ = false;
  // The response body, unless the response is a stream.
  std::string body_;
  std::optional<EngineCompleted> finished_;
};

}  // namespace coltsfootfork
