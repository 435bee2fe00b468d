#include "duties/fencing.h"

#include <gtest/gtest.h>

namespace hickorywood::duties {
namespace {

using core::milliseconds;
using core::time_point;

constexpr milliseconds kLease{3000};

TEST(FencingTest, TokensRiseWithTheCallAndWithTheTerm) {
  EXPECT_LT(FencingToken(7, 1), FencingToken(7, 2));
  EXPECT_LT(FencingToken(7, 5'000'000), FencingToken(8, 0));
}

// Guards against two holders that act by turns within the lease.
TEST(FencingTest, NewLeaderWaitsForTheLeaseOfItsPredecessor) {
  holder_terms terms;
  terms.elected_at = time_point(milliseconds(1000));
  terms.holder_lease = kLease;
  const time_point before = terms.elected_at + kLease - milliseconds(1);
  EXPECT_FALSE(MayAct(terms, terms.elected_at + kLease));
  terms.is_leader = true;
  EXPECT_FALSE(MayAct(terms, before));
  EXPECT_TRUE(MayAct(terms, terms.elected_at + kLease));
}

// Guards against a call of the predecessor that is executed after one of the
// new holder, where the receiver does not check tokens.
TEST(FencingTest, NewLeaderWaitsLongerWithoutFencing) {
  holder_terms terms;
  terms.is_leader = true;
  terms.is_fenced = false;
  terms.holder_lease = kLease;
  EXPECT_FALSE(MayAct(terms, terms.elected_at + kLease));
  EXPECT_TRUE(MayAct(terms, terms.elected_at + 2 * kLease));
}

}  // namespace
}  // namespace hickorywood::duties
