#include "core/scheduling/length_predictor.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace coltsfootfork {
namespace {

const ServiceId kModel("model");
const WorkspaceId kShort("short");
const WorkspaceId kNew("new");

// Half of the samples are 10 tokens long, half 1000.
LengthPredictor BimodalLengths() {
  LengthPredictor predictor;
  for (std::uint32_t i = 0; i < 200; ++i) {
    predictor.Record(kModel, kShort, i % 2 == 0 ? 10 : 1000);
  }
  return predictor;
}

BOOST_AUTO_TEST_CASE(GeneratedTokensChangePrediction) {
  const LengthPredictor predictor = BimodalLengths();
  const double initial_remaining =
      predictor.Remaining(kModel, kShort, 0, 0, 0.4);
  const double later = predictor.Remaining(kModel, kShort, 50, 0, 0.4);
  BOOST_TEST(initial_remaining < 20);
  BOOST_TEST(later > 700);
  BOOST_TEST(later < 1300);
}

BOOST_AUTO_TEST_CASE(StreamLongerThanAllSamplesIsExpectedToDouble) {
  const LengthPredictor predictor = BimodalLengths();
  BOOST_TEST(predictor.Remaining(kModel, kShort, 5000, 0, 0.5) == 5000);
  BOOST_TEST(predictor.Remaining(kModel, kShort, 5000, 5600, 0.5) == 600);
  BOOST_TEST(predictor.Remaining(kModel, kShort, 5600, 5600, 0.5) == 1);
}

BOOST_AUTO_TEST_CASE(FallsBackFromWorkspaceToServiceToPrior) {
  const LengthPredictor predictor = BimodalLengths();
  BOOST_TEST(predictor.Remaining(kModel, kNew, 0, 0, 0.4) < 20);
  BOOST_TEST(predictor.Remaining(ServiceId("other"), kNew, 0, 0, 0.4) > 100);
}

BOOST_AUTO_TEST_CASE(OldLengthsDecay) {
  LengthPredictor predictor = BimodalLengths();
  for (int i = 0; i < 5000; ++i) predictor.Record(kModel, kShort, 100);
  BOOST_TEST(predictor.Remaining(kModel, kShort, 0, 0, 0.99) < 150);
  // Enough samples to rescale the weights several times.
  for (int i = 0; i < 50000; ++i) predictor.Record(kModel, kShort, 100);
  BOOST_TEST(predictor.MeanLength(kModel, kShort, 0) > 80);
  BOOST_TEST(predictor.MeanLength(kModel, kShort, 0) < 125);
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedForAnyNumberOfWorkspaces) {
  LengthPredictor predictor(100);
  for (int i = 0; i < 1700; ++i) {
    predictor.Record(kModel, WorkspaceId(std::to_string(i)), 50);
  }
  BOOST_TEST(predictor.workspaces() == 100U);
}

}  // namespace
}  // namespace coltsfootfork
