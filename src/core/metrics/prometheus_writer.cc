#include "core/metrics/prometheus_writer.h"

#include <cinttypes>
#include <cstdio>

namespace coltsfootfork {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1000000;

// Formats the duration in seconds without rounding, so that two different
// bounds never get the same text.
std::string FormatSeconds(Duration duration) {
  const std::int64_t whole_seconds = duration.count() / kMicrosecondsPerSecond;
  const std::int64_t fraction_microseconds =
      duration.count() % kMicrosecondsPerSecond;
  if (fraction_microseconds == 0) return std::to_string(whole_seconds);
  char digits[8];
  std::snprintf(digits, sizeof(digits), "%06" PRId64, fraction_microseconds);
  std::string fraction(digits);
  fraction.erase(fraction.find_last_not_of('0') + 1);
  return std::to_string(whole_seconds) + "." + fraction;
}

std::string EscapeLabelValue(const std::string& value) {
  std::string escaped;
  for (char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

void PrometheusWriter::Header(const MetricInfo& info, std::string_view type) {
  const std::string name(info.name);
  text_ += "# HELP " + name + " " + std::string(info.help) + "\n";
  text_ += "# TYPE " + name + " " + std::string(type) + "\n";
}

void PrometheusWriter::Line(const std::string& name, const MetricLabels& labels,
                            const std::string& value) {
  text_ += name;
  char separator = '{';
  for (const MetricLabel& label : labels) {
    text_ += separator;
    text_ +=
        std::string(label.name) + "=\"" + EscapeLabelValue(label.value) + "\"";
    separator = ',';
  }
  if (!labels.empty()) text_ += "}";
  text_ += " " + value + "\n";
}

void PrometheusWriter::Sample(std::string_view name, const MetricLabels& labels,
                              std::uint64_t value) {
  Line(std::string(name), labels, std::to_string(value));
}

void PrometheusWriter::Histogram(std::string_view name,
                                 const MetricLabels& labels,
                                 const std::vector<Duration>& bounds,
                                 const DurationHistogram& histogram) {
  const std::string base(name);
  MetricLabels bucket_labels = labels;
  bucket_labels.push_back({"le", {}});
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    bucket_labels.back().value = FormatSeconds(bounds[i]);
    Line(base + "_bucket", bucket_labels,
         std::to_string(histogram.CountUpTo(i)));
  }
  bucket_labels.back().value = "+Inf";
  Line(base + "_bucket", bucket_labels, std::to_string(histogram.count()));
  Line(base + "_sum", labels, FormatSeconds(histogram.sum()));
  Line(base + "_count", labels, std::to_string(histogram.count()));
}

}  // namespace coltsfootfork
