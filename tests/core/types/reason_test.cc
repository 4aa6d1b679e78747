#include "coltsfootfork/core/types/reason.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string_view>

#include "coltsfootfork/core/types/rank.h"

namespace coltsfootfork {
namespace {

BOOST_AUTO_TEST_CASE(EveryReasonHasAUniqueName) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    BOOST_TEST(!ReasonName(reason).empty());
    BOOST_TEST(names.insert(ReasonName(reason)).second);
    BOOST_TEST((ParseReason(ReasonName(reason)) == reason));
  }
  BOOST_TEST(!ParseReason("no such reason").has_value());
}

BOOST_AUTO_TEST_CASE(RankNamesRoundTrip) {
  BOOST_TEST((ParseRank("urgent") == Rank::kUrgent));
  BOOST_TEST((ParseRank("deferrable") == Rank::kDeferrable));
  BOOST_TEST(!ParseRank("Urgent").has_value());
}

}  // namespace
}  // namespace coltsfootfork
