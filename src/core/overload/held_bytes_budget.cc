#include "coltsfootfork/core/overload/held_bytes_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace coltsfootfork {
namespace {

constexpr std::size_t kMemoryFraction = 4;
// Fraction of the free bytes that one slow caller may hold.
constexpr std::size_t kBacklogFraction = 8;
// Fraction of the limit that only small requests use.
constexpr std::size_t kReservedFraction = 8;

}  // namespace

std::size_t HeldBytesLimitForHost(std::optional<std::size_t> memory_bytes) {
  return memory_bytes ? *memory_bytes / kMemoryFraction
                      : kDefaultHeldBytesLimit;
}

void HeldBytesBudget::Add(HeldBytesPurpose purpose, std::size_t bytes) {
  bytes_[static_cast<std::size_t>(purpose)] += bytes;
}

void HeldBytesBudget::Remove(HeldBytesPurpose purpose, std::size_t bytes) {
  std::size_t& held = bytes_[static_cast<std::size_t>(purpose)];
  held -= std::min(held, bytes);
}

std::size_t HeldBytesBudget::total() const {
  return std::accumulate(bytes_.begin(), bytes_.end(), std::size_t{0});
}

std::size_t HeldBytesBudget::free() const {
  return limit_ - std::min(limit_, total());
}

bool HeldBytesBudget::AdmitsRequest(std::size_t bytes) const {
  if (total() == 0) return true;
  if (bytes <= kSmallRequestBytes) return free() > 0;
  return bytes + limit_ / kReservedFraction <= free();
}

std::size_t HeldBytesBudget::AllowedBacklog() const {
  return std::max(free() / kBacklogFraction, kMinBacklog);
}

HeldBytes::HeldBytes(std::shared_ptr<HeldBytesBudget> budget,
                     HeldBytesPurpose purpose)
    : budget_(std::move(budget)), purpose_(purpose) {}

HeldBytes::~HeldBytes() { Set(0); }

void HeldBytes::Set(std::size_t bytes) {
  budget_->Remove(purpose_, bytes_);
  budget_->Add(purpose_, bytes);
  bytes_ = bytes;
}

}  // namespace coltsfootfork
