#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "coltsfootfork/core/messages/control_messages.h"

namespace coltsfootfork {

// A whole generation as a claim keeps it, so that a resend can be answered in
// whichever form it asks for.
struct StoredGeneration {
  std::string text;
  std::string finish_reason;
  std::uint32_t token_count = 0;
};

// The most text of one generation, in bytes, that goes into the replicated
// log.
inline constexpr std::size_t kStoredTextLimit = 262144;

// Packs a generation into an answer that a claim can keep.
StoredResponse PackGeneration(const StoredGeneration& generation);

// The generation in a stored answer, or nothing where the answer holds
// something else.
std::optional<StoredGeneration> UnpackGeneration(const StoredResponse& answer);

}  // namespace coltsfootfork
