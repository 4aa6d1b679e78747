#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

// A complete generation as stored with a claim, so that a retry can receive it
// in either form, streamed or whole.
struct StoredGeneration {
  std::string text;
  std::string finish_reason;
  std::uint32_t token_count = 0;
};

// The maximum text of one generation, in bytes, that is stored in the
// replicated log.
inline constexpr std::size_t kStoredTextLimit = 262144;

// Encodes a generation as a response that can be stored with a claim.
StoredResponse PackGeneration(const StoredGeneration& generation);

// Decodes a stored response; returns nullopt if it is not a generation.
std::optional<StoredGeneration> UnpackGeneration(const StoredResponse& answer);

}  // namespace coltsfootfork
