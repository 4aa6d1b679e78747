#include "coltsfootfork/core/gateway/response_buffer_budget.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// An answer may take up to a fourth of what is free: one that is large leaves
// room for others, and n that grow alike end at an (n + 4)th of all each.
constexpr std::size_t kFreeDivisor = 4;

}  // namespace

bool ResponseBufferBudget::TryReserve(std::size_t reserved,
                                      std::size_t additional) {
  const std::size_t free =
      options_.max_total_bytes - std::min(bytes_, options_.max_total_bytes);
  const std::size_t allowed =
      std::max(free / kFreeDivisor, options_.guaranteed_bytes);
  if (reserved + additional > allowed) return false;
  bytes_ += additional;
  return true;
}

void ResponseBufferBudget::Release(std::size_t reserved) {
  bytes_ -= std::min(bytes_, reserved);
}

}  // namespace coltsfootfork
