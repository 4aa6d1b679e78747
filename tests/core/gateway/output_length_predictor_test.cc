#include "coltsfootfork/core/gateway/output_length_predictor.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(AnEstimateIsBelievedInPart) {
  OutputLengthPredictor predictor;
  for (int i = 0; i < 100; ++i) predictor.OnCompleted("talk", 1000, 400);
  BOOST_TEST(predictor.Predict("talk", 1000, 20) > 20U);
  BOOST_TEST(predictor.Predict("talk", 1000, 20) < 400U);
  BOOST_TEST(predictor.Predict("talk", 1000, 1000) > 400U);
  BOOST_TEST(predictor.Predict("talk", 1000, 1000) <= 1000U);
}

BOOST_AUTO_TEST_CASE(RoutesAreLearnedApartAndStartInTheMiddle) {
  OutputLengthPredictor predictor;
  for (int i = 0; i < 100; ++i) predictor.OnCompleted("verdict", 1000, 20);
  BOOST_TEST(predictor.Predict("verdict", 1000, std::nullopt) < 50U);
  BOOST_TEST(predictor.Predict("talk", 1000, std::nullopt) > 400U);
  BOOST_TEST(predictor.Predict("talk", 0, 10) == 0U);
}

// Answers scatter by a factor of 2.4 and estimates by 3 around them, as
// callers' estimates do. The expectation is nearer to what comes than the
// estimate is.
BOOST_AUTO_TEST_CASE(ExpectationsAreNearerThanEstimates) {
  constexpr std::uint64_t kMost = 1768;
  std::mt19937_64 random(11);
  std::lognormal_distribution<double> output(std::log(500.0), 0.87);
  std::lognormal_distribution<double> noise(0, 1.05);
  OutputLengthPredictor predictor;
  double of_estimates = 0;
  double of_expectations = 0;
  for (int i = 0; i < 2000; ++i) {
    const double made = std::min<double>(output(random), kMost);
    const auto estimate = static_cast<std::uint64_t>(
        std::min<double>(made * noise(random), kMost));
    const auto expected =
        static_cast<double>(predictor.Predict("talk", kMost, estimate));
    of_estimates += std::abs(static_cast<double>(estimate) - made);
    of_expectations += std::abs(expected - made);
    predictor.OnCompleted("talk", kMost, static_cast<std::uint64_t>(made));
  }
  BOOST_TEST(of_expectations < 0.85 * of_estimates);
}

BOOST_AUTO_TEST_CASE(WhatPassesItsExpectationIsExpectedToGoOn) {
  BOOST_TEST(RaisePrediction(500, 400, 1000) == 500U);
  BOOST_TEST(RaisePrediction(500, 600, 1000) > 600U);
  BOOST_TEST(RaisePrediction(500, 990, 1000) == 1000U);
}

}  // namespace
}  // namespace coltsfootfork
