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
// Prompt tokens are estimated from the prompt's bytes until engines report
// their own count.
constexpr std::size_t kBytesPerToken = 4;
// The number of prompt bytes in one prefix block.
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxPrefixBlocks = 64;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr std::uint32_t kLargestMaxTokens = 1U << 20U;
// Deeper nesting is rejected before the document is built.
constexpr int kMaxDepth = 64;

CallerRequestResult InvalidRequest(std::string text) {
  return {std::nullopt, std::move(text)};
}

// Returns the digests of the prompt's prefix blocks; each also covers all
// blocks before it.
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

// Rejects deep nesting while parsing, so that a malicious body cannot exhaust
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

// Returns the text of "prompt", or the list of messages as JSON text for a chat
// completion; nullopt if it is missing or has the wrong type.
std::optional<std::string> PromptText(const json& body, ResponseFormat format) {
  if (format == ResponseFormat::kCompletion) {
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

CallerRequestResult ParseGenerationRequest(const HttpRequest& http,
                                           ResponseFormat format) {
  const json body = ParseBounded(http.body);
  if (!body.is_object()) {
    return InvalidRequest("the body is not a JSON object of bounded depth");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return InvalidRequest("/model: must name a service");
  }
  const std::optional<std::string> prompt = PromptText(body, format);
  if (!prompt) {
    return InvalidRequest(format == ResponseFormat::kCompletion
                              ? "/prompt: must be a text"
                              : "/messages: must be a list with an element");
  }
  const json max_tokens = body.value("max_tokens", json(kDefaultMaxTokens));
  if (!max_tokens.is_number_integer() || max_tokens < 1 ||
      max_tokens > kLargestMaxTokens) {
    return InvalidRequest("/max_tokens: must be 1 to " +
                          std::to_string(kLargestMaxTokens));
  }
  const json stream = body.value("stream", json(false));
  if (!stream.is_boolean()) {
    return InvalidRequest("/stream: must be true or false");
  }

  ParsedCallerRequest parsed;
  parsed.format = format;
  parsed.request.service = ServiceId(model->get<std::string>());
  parsed.request.kind = RequestKind::kGeneration;
  parsed.request.method = http.method;
  parsed.request.target = http.target;
  parsed.request.content_type = "application/json";
  parsed.request.body = http.body;
  parsed.request.stream = stream.get<bool>();
  parsed.request.prompt_tokens =
      static_cast<std::uint32_t>(prompt->size() / kBytesPerToken + 1);
  parsed.request.max_output_tokens = max_tokens.get<std::uint32_t>();
  parsed.request.prefix_blocks = PrefixBlocks(*prompt);
  return {std::move(parsed), {}};
}

CallerRequestResult ParsePlainCall(const HttpRequest& http) {
  const std::string_view target = http.target;
  const std::string_view rest = target.substr(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  ParsedCallerRequest parsed;
  parsed.format = ResponseFormat::kPlain;
  parsed.request.service = ServiceId(std::string(rest.substr(0, slash)));
  parsed.request.kind = RequestKind::kPlainCall;
  parsed.request.method = http.method;
  parsed.request.target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  parsed.request.content_type = std::string(http.Field("Content-Type"));
  parsed.request.body = http.body;
  return {std::move(parsed), {}};
}

CallerRequestResult ParseByTarget(const HttpRequest& http) {
  if (http.target.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0) {
    return ParsePlainCall(http);
  }
  if (http.method != "POST") return InvalidRequest("the method must be POST");
  if (http.target == "/v1/completions") {
    return ParseGenerationRequest(http, ResponseFormat::kCompletion);
  }
  if (http.target == "/v1/chat/completions") {
    return ParseGenerationRequest(http, ResponseFormat::kChatCompletion);
  }
  return InvalidRequest("there is nothing at this path");
}

}  // namespace

CallerRequestResult ParseCallerRequest(const HttpRequest& http) {
  const std::string_view key = http.Field("Idempotency-Key");
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return InvalidRequest("Idempotency-Key: at most " +
                          std::to_string(kMaxIdempotencyKeyBytes) + " bytes");
  }
  CallerRequestResult result = ParseByTarget(http);
  if (!result.parsed) return result;
  result.parsed->request.idempotency_key = std::string(key);
  result.parsed->request.request_digest = RequestDigest(http);
  return result;
}

}  // namespace coltsfootfork
