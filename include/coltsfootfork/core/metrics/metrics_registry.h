#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "coltsfootfork/core/types/ids.h"
#include "coltsfootfork/core/types/rank.h"
#include "coltsfootfork/core/types/reason.h"
#include "coltsfootfork/core/types/time.h"

namespace coltsfootfork {

// The counters of one process.
class MetricsRegistry {
 public:
  void Count(Reason reason, Rank rank, const ServiceId& service);
  void ObserveFirstToken(Rank rank, const ServiceId& service, Duration value);
  void ObserveTokenGap(Rank rank, const ServiceId& service, Duration value);
  void SetRevisionInForce(Revision revision) { revision_ = revision; }

  // The Prometheus text form.
  std::string ToPrometheusText() const;

 private:
  std::array<std::uint64_t, kReasonCount> reasons_{};
  std::uint64_t tokens_ = 0;
  Revision revision_ = 0;
};

}  // namespace coltsfootfork
