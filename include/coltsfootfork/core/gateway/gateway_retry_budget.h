#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

struct GatewayRetryBudgetOptions {
  // Repeats for each first send, in every window of this length. Each entry
  // keeps the share for its own calls, so all entries together keep it too.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
};

// Bounds how often calls are sent once more, service by service, so that
// repeats cannot multiply an overload.
class GatewayRetryBudget {
 public:
  explicit GatewayRetryBudget(const GatewayRetryBudgetOptions& options)
      : options_(options) {}

  // A call is sent for the first time.
  void CountFirstAttempt(const ServiceId& service, Time now);
  // A call was sent once more, within the budget or not.
  void CountRetry(const ServiceId& service, Time now);
  bool AllowsRetry(const ServiceId& service, Time now);

 private:
  // The window is kept in so many parts.
  static constexpr std::size_t kParts = 10;
  struct Part {
    std::int64_t number = -1;
    std::uint32_t firsts = 0;
    std::uint32_t repeats = 0;
  };
  using Parts = std::array<Part, kParts>;

  Part& PartAt(const ServiceId& service, Time now);
  std::int64_t NumberOf(Time now) const;

  GatewayRetryBudgetOptions options_;
  std::map<ServiceId, Parts> services_;
};

}  // namespace coltsfootfork
