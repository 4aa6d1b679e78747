#include "shell/process/caller_request_reader.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "coltsfootfork/core/configuration/sha256.h"

namespace coltsfootfork {
namespace {

using nlohmann::json;

constexpr std::string_view kServicesPrefix = "/services/";
// Prompt tokens are counted by bytes until engines tell their own count.
constexpr std::size_t kBytesPerToken = 4;
// One prefix block covers so many bytes of the prompt.
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxPrefixBlocks = 64;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr std::uint32_t kLargestMaxTokens = 1U << 20U;
// Nesting beyond this is refused before the document is built.
constexpr int kMaxDepth = 64;

CallerReading Problem(std::string text) {
  return {std::nullopt, std::move(text)};
}

// Each block's digest covers all blocks before it.
std::vector<std::uint64_t> PrefixBlocks(const std::string& prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t digest = 0;
  for (std::size_t begin = 0; begin + kPrefixBlockBytes <= prompt.size() &&
                              blocks.size() < kMaxPrefixBlocks;
       begin += kPrefixBlockBytes) {
    digest = XXH64(prompt.data() + begin, kPrefixBlockBytes, digest);
    blocks.push_back(digest);
  }
  return blocks;
}

std::string RequestDigest(const HttpRequest& http) {
  return Sha256Hex(http.method + '\n' + http.target + '\n' + http.body);
}

// Refuses deep nesting while parsing, so that a hostile body cannot exhaust
// the stack.
json ParseBounded(const std::string& text) {
  bool too_deep = false;
  const auto depth_guard = [&too_deep](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  json body = json::parse(text, depth_guard, /*allow_exceptions=*/false);
  return too_deep ? json(json::value_t::discarded) : body;
}

// The prompt's text: "prompt" itself, or the messages one after another.
std::optional<std::string> PromptText(const json& body, AnswerForm form) {
  if (form == AnswerForm::kCompletion) {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) return std::nullopt;
    return prompt->get<std::string>();
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  return messages->dump(-1, ' ', false, json::error_handler_t::replace);
}

CallerReading ReadGeneration(const HttpRequest& http, AnswerForm form) {
  const json body = ParseBounded(http.body);
  if (!body.is_object()) {
    return Problem("the body is not a JSON object of bounded depth");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Problem("/model: must name a service");
  }
  const std::optional<std::string> prompt = PromptText(body, form);
  if (!prompt) {
    return Problem(form == AnswerForm::kCompletion
                       ? "/prompt: must be a text"
                       : "/messages: must be a list with an element");
  }
  const json max_tokens = body.value("max_tokens", json(kDefaultMaxTokens));
  if (!max_tokens.is_number_integer() || max_tokens < 1 ||
      max_tokens > kLargestMaxTokens) {
    return Problem("/max_tokens: must be 1 to " +
                   std::to_string(kLargestMaxTokens));
  }
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) return Problem("/stream: must be true or false");

  ReadCallerRequest read;
  read.form = form;
  read.request.service = ServiceId(model->get<std::string>());
  read.request.kind = RequestKind::kGeneration;
  read.request.method = http.method;
  read.request.target = http.target;
  read.request.content_type = "application/json";
  read.request.body = http.body;
  read.request.stream = stream.get<bool>();
  read.request.prompt_tokens =
      static_cast<std::uint32_t>(prompt->size() / kBytesPerToken + 1);
  read.request.max_output_tokens = max_tokens.get<std::uint32_t>();
  read.request.prefix_blocks = PrefixBlocks(*prompt);
  return {std::move(read), {}};
}

CallerReading ReadPlainCall(const HttpRequest& http) {
  const std::string_view target = http.target;
  const std::string_view rest = target.substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  ReadCallerRequest read;
  read.form = AnswerForm::kPlain;
  read.request.service = ServiceId(std::string(rest.substr(0, slash)));
  read.request.kind = RequestKind::kPlainCall;
  read.request.method = http.method;
  read.request.target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  read.request.content_type = std::string(http.Field("Content-Type"));
  read.request.body = http.body;
  return {std::move(read), {}};
}

CallerReading ReadByTarget(const HttpRequest& http) {
  if (http.target.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
    return ReadPlainCall(http);
  }
  if (http.method != "POST") return Problem("the method must be POST");
  if (http.target == "/v1/completions") {
    return ReadGeneration(http, AnswerForm::kCompletion);
  }
  if (http.target == "/v1/chat/completions") {
    return ReadGeneration(http, AnswerForm::kChatCompletion);
  }
  return Problem("there is nothing at this path");
}

}  // namespace

CallerReading ReadCaller(const HttpRequest& http) {
  const std::string_view key = http.Field("Idempotency-Key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return Problem("Idempotency-Key: at most " +
                   std::to_string(kMaxIdempotencyKeyBytes) + " bytes");
  }
  CallerReading reading = ReadByTarget(http);
  if (!reading.read) return reading;
  reading.read->request.idempotency_key = std::string(key);
  reading.read->request.request_digest = RequestDigest(http);
  return reading;
}

}  // namespace coltsfootfork
