#include "coltsfootfork/core/gateway/retry_age_estimator.h"

#include <boost/test/unit_test.hpp>

namespace coltsfootfork {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(RetryHasAShorterTimeout) {
  RetryAgeEstimator estimator;
  BOOST_CHECK(estimator.EstimateAge("talk", milliseconds(39000)) ==
              Duration(0));
  BOOST_CHECK(estimator.EstimateAge("talk", milliseconds(32000)) ==
              milliseconds(7000));
  BOOST_CHECK(estimator.EstimateAge("talk", milliseconds(39000)) ==
              Duration(0));
}

BOOST_AUTO_TEST_CASE(RoutesAreEstimatedSeparately) {
  RetryAgeEstimator estimator;
  estimator.EstimateAge("talk", milliseconds(39000));
  BOOST_CHECK(estimator.EstimateAge("verdict", milliseconds(6000)) ==
              Duration(0));
}

}  // namespace
}  // namespace coltsfootfork
