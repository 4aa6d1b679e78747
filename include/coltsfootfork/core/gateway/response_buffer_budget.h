#pragma once

#include <cstddef>

namespace coltsfootfork {

struct ResponseBufferOptions {
  // Limit for all buffered responses together: a small fraction of the memory
  // of the smallest host that an entry runs on.
  std::size_t max_total_bytes = 16U << 20U;
  // Size up to which a response is always buffered.
  std::size_t guaranteed_bytes = 64U << 10U;
};

// Limits the memory of responses that are buffered until they are complete. A
// response may use a fraction of the free budget: a single response may be
// large, many endless ones stay within the limit together, and responses of the
// usual size still fit beside them.
class ResponseBufferBudget {
 public:
  explicit ResponseBufferBudget(const ResponseBufferOptions& options = {})
      : options_(options) {}

  // Reserves `additional` bytes for a response that has `reserved` bytes
  // already. Returns false, and reserves nothing, if the response would be too
  // large.
  bool TryReserve(std::size_t reserved, std::size_t additional);
  // Releases all bytes of a response.
  void Release(std::size_t reserved);

  std::size_t bytes() const { return bytes_; }

 private:
  ResponseBufferOptions options_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
