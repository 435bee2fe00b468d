#include "duties/fencing.h"

#include <gtest/gtest.h>

namespace hickorywood::duties {
namespace {

using core::milliseconds;
using time_point = core::boot_time_point;

constexpr milliseconds kLease{3000};

TEST(FencingTest, TokensRiseWithTheCallAndWithTheTerm) {
  EXPECT_LT(FencingToken(7, 1), FencingToken(7, 2));
  EXPECT_LT(FencingToken(7, 5'000'000), FencingToken(8, 0));
}

// Guards against two holders that act by turns within the lease.
TEST(FencingTest, NewLeaderWaitsForTheLeaseOfItsPredecessor) {
  holder_terms terms;
  terms.leads_since = time_point(milliseconds(1000));
  terms.holder_lease = kLease;
  const time_point before = terms.leads_since + kLease - milliseconds(1);
  EXPECT_FALSE(MayAct(terms, terms.leads_since + kLease));
  terms.is_leader = true;
  EXPECT_FALSE(MayAct(terms, before));
  EXPECT_TRUE(MayAct(terms, terms.leads_since + kLease));
}

// Guards against a call of the predecessor that is executed after one of the
// new holder, where the receiver does not check tokens.
TEST(FencingTest, NewLeaderWaitsLongerWithoutFencing) {
  holder_terms terms;
  terms.is_leader = true;
  terms.is_fenced = false;
  terms.holder_lease = kLease;
  EXPECT_FALSE(MayAct(terms, terms.leads_since + kLease));
  EXPECT_TRUE(MayAct(terms, terms.leads_since + 2 * kLease));
}

}  // namespace
}  // namespace hickorywood::duties
