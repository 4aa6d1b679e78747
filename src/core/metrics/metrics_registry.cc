#include "coltsfootfork/core/metrics/metrics_registry.h"

namespace coltsfootfork {

void MetricsRegistry::Count(Reason reason, Rank, const ServiceId&) {
  ++reasons_.at(static_cast<std::size_t>(reason));
}

void MetricsRegistry::ObserveFirstToken(Rank, const ServiceId&, Duration) {
  ++tokens_;
}

void MetricsRegistry::ObserveTokenGap(Rank, const ServiceId&, Duration) {
  ++tokens_;
}

std::string MetricsRegistry::ToPrometheusText() const {
  std::string text = "# TYPE coltsfootfork_requests_total counter\n";
  for (std::size_t i = 1; i < reasons_.size(); ++i) {
    text += "coltsfootfork_requests_total{reason=\"" +
            std::string(ReasonName(static_cast<Reason>(i))) + "\"} " +
            std::to_string(reasons_.at(i)) + "\n";
  }
  text += "# TYPE coltsfootfork_tokens_delivered_total counter\n";
  text += "coltsfootfork_tokens_delivered_total " + std::to_string(tokens_);
  text += "\n# TYPE coltsfootfork_revision_in_force gauge\n";
  text += "coltsfootfork_revision_in_force " + std::to_string(revision_) + "\n";
  return text;
}

}  // namespace coltsfootfork
