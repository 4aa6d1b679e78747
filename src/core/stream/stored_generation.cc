#include "coltsfootfork/core/stream/stored_generation.h"

#include <nlohmann/json.hpp>

namespace coltsfootfork {
namespace {

constexpr int kStatusOk = 200;
constexpr char kContentType[] = "application/vnd.coltsfootfork.generation+json";

}  // namespace

StoredResponse PackGeneration(const StoredGeneration& generation) {
  const nlohmann::json document = {
      {"text", generation.text},
      {"finish_reason", generation.finish_reason},
      {"token_count", generation.token_count},
  };
  // Invalid UTF-8 is replaced, so that the response can still be stored.
  return {
      kStatusOk, kContentType,
      document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

std::optional<StoredGeneration> UnpackGeneration(const StoredResponse& answer) {
  if (answer.content_type != kContentType) return std::nullopt;
  const auto document = nlohmann::json::parse(answer.body, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  return StoredGeneration{document.value("text", std::string()),
                          document.value("finish_reason", std::string()),
                          document.value("token_count", std::uint32_t{0})};
}

}  // namespace coltsfootfork
