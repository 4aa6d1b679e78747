#include "coltsfootfork/core/gateway/output_length_predictor.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(EstimateIsCombinedWithObservedLengths) {
  OutputLengthPredictor predictor;
  for (int i = 0; i < 100; ++i) predictor.OnCompleted("talk", 1000, 400);
  BOOST_TEST(predictor.Predict("talk", 1000, 20) > 20U);
  BOOST_TEST(predictor.Predict("talk", 1000, 20) < 400U);
  BOOST_TEST(predictor.Predict("talk", 1000, 1000) > 400U);
  BOOST_TEST(predictor.Predict("talk", 1000, 1000) <= 1000U);
}

BOOST_AUTO_TEST_CASE(RoutesAreLearnedSeparatelyAndStartAtHalfTheMaximum) {
  OutputLengthPredictor predictor;
  for (int i = 0; i < 100; ++i) predictor.OnCompleted("verdict", 1000, 20);
  BOOST_TEST(predictor.Predict("verdict", 1000, std::nullopt) < 50U);
  BOOST_TEST(predictor.Predict("talk", 1000, std::nullopt) > 400U);
  BOOST_TEST(predictor.Predict("talk", 0, 10) == 0U);
}

// Output lengths scatter by a factor of 2.4, and estimates by a factor of 3
// around them, as callers' estimates do. Predictions must be closer to the
// actual lengths than the estimates.
BOOST_AUTO_TEST_CASE(PredictionsAreCloserThanEstimates) {
  constexpr std::uint64_t kMaxTokens = 1768;
  std::mt19937_64 random(11);
  std::lognormal_distribution<double> output(std::log(500.0), 0.87);
  std::lognormal_distribution<double> noise(0, 1.05);
  OutputLengthPredictor predictor;
  double estimate_error = 0;
  double prediction_error = 0;
  for (int i = 0; i < 2000; ++i) {
    const double actual = std::min<double>(output(random), kMaxTokens);
    const auto estimate = static_cast<std::uint64_t>(
        std::min<double>(actual * noise(random), kMaxTokens));
    const auto predicted =
        static_cast<double>(predictor.Predict("talk", kMaxTokens, estimate));
    estimate_error += std::abs(static_cast<double>(estimate) - actual);
    prediction_error += std::abs(predicted - actual);
    predictor.OnCompleted("talk", kMaxTokens,
                          static_cast<std::uint64_t>(actual));
  }
  BOOST_TEST(prediction_error < 0.85 * estimate_error);
}

BOOST_AUTO_TEST_CASE(ExceededPredictionIsRaised) {
  BOOST_TEST(RaisePrediction(500, 400, 1000) == 500U);
  BOOST_TEST(RaisePrediction(500, 600, 1000) > 600U);
  BOOST_TEST(RaisePrediction(500, 990, 1000) == 1000U);
}

}  // namespace
}  // namespace coltsfootfork
