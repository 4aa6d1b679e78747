#include "coltsfootfork/core/metrics/metrics_registry.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace coltsfootfork {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  BOOST_REQUIRE_MESSAGE(file, path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::size_t CountOccurrences(const std::string& text, const std::string& word) {
  std::size_t count = 0;
  for (auto at = text.find(word); at != std::string::npos;
       at = text.find(word, at + 1)) {
    ++count;
  }
  return count;
}

BOOST_AUTO_TEST_CASE(EveryReasonIsExportedFromTheStart) {
  const std::string text = MetricsRegistry().ToPrometheusText();
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    const std::string name(ReasonName(static_cast<Reason>(i)));
    for (const char* rank : {"urgent", "deferrable"}) {
      BOOST_TEST(CountOccurrences(
                     text, "coltsfootfork_reasons_total{reason=\"" + name +
                               "\",rank=\"" + rank + "\",service=\"\"} 0\n") ==
                 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(PrometheusTextMatchesTheExpectedFile) {
  MetricsRegistry metrics;
  const ServiceId service("mirror \"a\"\\\n");
  metrics.Count(Reason::kQueueFull, Rank::kUrgent, service);
  metrics.Count(Reason::kQueueFull, Rank::kUrgent, service);
  metrics.Count(Reason::kNone, Rank::kUrgent, service);
  metrics.Add(Counter::kPreemptions, 3);
  metrics.SetRevisionInForce(17);
  metrics.ObserveFirstToken(Rank::kUrgent, service, milliseconds(1800));
  metrics.ObserveFirstToken(Rank::kUrgent, service,
                            milliseconds(1800) + microseconds(1));
  metrics.ObserveTokenGap(Rank::kDeferrable, service, milliseconds(27));
  metrics.ObserveTokenGap(Rank::kDeferrable, service, milliseconds(300));
  metrics.ObserveQueueDelay(Rank::kUrgent, service, milliseconds(61000));
  metrics.ObserveQueueDelay(Rank::kUrgent, service, milliseconds(-1));
  BOOST_TEST(metrics.ToPrometheusText() ==
             ReadFile(TEST_DATA_DIR "/expected_metrics.txt"));
}

BOOST_AUTO_TEST_CASE(ServiceLabelsStayBoundedWithManyServices) {
  MetricsRegistry metrics;
  for (int i = 0; i < 1700; ++i) {
    const ServiceId service("s" + std::to_string(i));
    metrics.Count(Reason::kQueueFull, Rank::kUrgent, service);
    metrics.ObserveTokenGap(Rank::kUrgent, service, milliseconds(1));
  }
  const std::string text = metrics.ToPrometheusText();
  BOOST_TEST(CountOccurrences(text, "_token_gap_seconds_count{") == 65U);
  BOOST_TEST(CountOccurrences(text, "{reason=\"queue_full\",rank=\"urgent\"") ==
             66U);
  BOOST_TEST(CountOccurrences(text, "service=\"other\"} 1636\n") == 2U);
}

// Returns the metric names that directly follow `prefix` in the text.
std::set<std::string> MetricNamesAfter(const std::string& text,
                                       const std::string& prefix) {
  constexpr char kNameCharacters[] = "abcdefghijklmnopqrstuvwxyz_";
  std::set<std::string> names;
  for (auto at = text.find(prefix + "coltsfootfork_"); at != std::string::npos;
       at = text.find(prefix + "coltsfootfork_", at + 1)) {
    const auto begin = at + prefix.size();
    names.insert(text.substr(
        begin, text.find_first_not_of(kNameCharacters, begin) - begin));
  }
  return names;
}

std::set<std::string> ExportedMetricNames() {
  std::set<std::string> names;
  for (const MetricInfo& info : AllMetrics()) names.emplace(info.name);
  return names;
}

BOOST_AUTO_TEST_CASE(OperatorsPageListsExactlyTheExportedMetrics) {
  const std::string page = ReadFile(DOCS_DIR "/operators/metrics.md");
  BOOST_TEST(MetricNamesAfter(page, "\n| `") == ExportedMetricNames(),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(OperatorsPagesNameOnlyExportedMetrics) {
  const std::set<std::string> exported = ExportedMetricNames();
  const std::set<std::string> named =
      MetricNamesAfter(ReadFile(DOCS_DIR "/operators/slow-streams.md"), "");
  for (std::string name : named) {
    for (const std::string suffix : {"_bucket", "_sum", "_count"}) {
      const auto at = name.rfind(suffix);
      if (at != std::string::npos && at + suffix.size() == name.size()) {
        name.erase(at);
      }
    }
    BOOST_TEST(exported.count(name) == 1U, name);
  }
  BOOST_TEST(named.size() > 5U);
}

}  // namespace
}  // namespace coltsfootfork
