#include "adapters/engine_call.h"

#include <utility>
#include <variant>

#include "adapters/engine_decoders.h"
#include "shell/net/event_splitter.h"

namespace coltsfootfork {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

EngineCall::EngineCall(const Dispatch& dispatch, std::size_t max_response_bytes,
                       std::size_t max_event_bytes, MessageHandler on_message,
                       FindingHandler on_finding)
    : request_(dispatch.request),
      generation_(dispatch.generation),
      kind_(dispatch.kind),
      is_resume_(dispatch.first_index > 0),
      max_response_bytes_(max_response_bytes),
      events_(max_event_bytes,
              [this](std::string_view data) { return OnEvent(data); }),
      on_message_(std::move(on_message)),
      on_finding_(std::move(on_finding)) {}

void EngineCall::OnHead(const HttpResponse& head) {
  status_ = head.status;
  content_type_ = head.content_type;
  is_stream_ = kind_ == RequestKind::kGeneration && status_ == kOk;
  is_delimited_ = !head.Field("Content-Length").empty() ||
                  !head.Field("Transfer-Encoding").empty();
  const std::string_view response_request_id = head.Field("X-Request-Id");
  if (!response_request_id.empty() && response_request_id != request_.value()) {
    Report("the answer names another request");
    status_ = 0;
    is_stream_ = false;
  }
}

bool EngineCall::OnBody(std::string_view bytes) {
  if (is_stream_) {
    if (events_.Feed(bytes)) return true;
    // If OnEvent stopped the stream, it has already reported the reason.
    if (!stopped_by_event_) Report("an event is too large");
    return false;
  }
  if (body_.size() + bytes.size() > max_response_bytes_) {
    Report("the answer is too large");
    return false;
  }
  body_.append(bytes);
  return true;
}

void EngineCall::Emit(EngineToAgent message) {
  if (!stopped_) on_message_(std::move(message));
}

bool EngineCall::OnEvent(std::string_view data) {
  stopped_by_event_ = true;
  if (stopped_) return false;
  Findings findings;
  auto event = DecodeStreamEvent(data, &findings);
  if (!event) {
    Report(findings.ToText());
    return false;
  }
  if (auto* end = std::get_if<StreamFinished>(&*event)) {
    finished_ = EngineCompleted{request_,
                                generation_,
                                end->token_count,
                                std::move(end->finish_reason),
                                kOk,
                                {},
                                {}};
    // Bytes after the end of the stream are ignored.
    return false;
  }
  if (auto* token = std::get_if<StreamToken>(&*event)) {
    Emit(EngineToken{request_, generation_, token->index,
                     std::move(token->text)});
  } else {
    Emit(EnginePreempted{request_, generation_});
  }
  stopped_by_event_ = false;
  return true;
}

void EngineCall::OnEnd(HttpCallResult end) {
  if (finished_) return Emit(*std::move(finished_));
  if (end == HttpCallResult::kConnectFailed) return Interrupt(true);
  const bool breaks_off = IsEventStreamType(content_type_) &&
                          !IsCompleteEventStream(body_, is_delimited_);
  const bool complete = end == HttpCallResult::kComplete && status_ != 0 &&
                        !is_stream_ && !breaks_off;
  if (!complete) return Interrupt(false);
  const bool unknown_resume = is_resume_ && status_ == kNotFound;
  if (unknown_resume || (status_ == kUnavailable && ReportsNotRun(body_))) {
    return Emit(EngineRefused{request_, generation_});
  }
  Complete();
}

void EngineCall::Complete() {
  EngineCompleted completed;
  completed.request = request_;
  completed.generation = generation_;
  completed.status = status_;
  completed.content_type = std::move(content_type_);
  completed.body = std::move(body_);
  Emit(std::move(completed));
}

void EngineCall::Interrupt(bool never_sent) {
  Emit(EngineInterrupted{request_, generation_, never_sent});
}

void EngineCall::Report(const std::string& problem) {
  on_finding_({"answer to " + request_.value(), problem});
}

}  // namespace coltsfootfork
