#pragma once

#include <cstddef>

namespace coltsfootfork {

struct ResponseBufferOptions {
  // What all answers that are held together may take: a small part of the
  // memory of the smallest host that an entry runs on.
  std::size_t max_total_bytes = 16U << 20U;
  // One answer may always take this much.
  std::size_t guaranteed_bytes = 64U << 10U;
};

// Bounds the memory of answers that are held until they are whole. An answer
// may take a part of what is still free, so that one alone may be large, many
// that never end stay within the bound together, and those of a usual size are
// taken beside them.
class ResponseBufferBudget {
 public:
  explicit ResponseBufferBudget(const ResponseBufferOptions& options = {})
      : options_(options) {}

  // Whether an answer that holds `held` bytes, counted already, may take `more`
  // bytes. They count from then on.
  bool TryReserve(std::size_t reserved, std::size_t additional);
  // The answer is not held any more.
  void Release(std::size_t reserved);

  std::size_t bytes() const { return bytes_; }

 private:
  ResponseBufferOptions options_;
  std::size_t bytes_ = 0;
};

}  // namespace coltsfootfork
