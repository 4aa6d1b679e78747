#include "coltsfootfork/core/gateway/response_buffer_budget.h"

#include <algorithm>

namespace coltsfootfork {
namespace {

// A response may use up to a quarter of the free budget. One large response
// leaves memory for others, and n responses that grow equally end at 1/(n + 4)
// of the total each.
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
