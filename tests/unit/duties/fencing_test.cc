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

constexpr milliseconds kSettle{1000};

holder_terms LeaderSince(int64_t at_ms) {
  holder_terms terms;
  terms.is_leader = true;
  terms.leads_since = time_point(milliseconds(at_ms));
  terms.holder_lease = kLease;
  return terms;
}

// Guards against weights that are not loaded for the lease time after each
// election.
TEST(FencingTest, HolderThatNeverActedWaitsForCallsOnTheirWayOnly) {
  const act_history history = BeginHistory(time_point(milliseconds(0)));
  const holder_terms terms = LeaderSince(60'000);
  EXPECT_FALSE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(60'999))));
  EXPECT_TRUE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(61'000))));
}

// Guards against two holders that act by turns within the lease.
TEST(FencingTest, ReturningHolderWaitsForItsLease) {
  act_history history = BeginHistory(time_point(milliseconds(0)));
  RecordAct(history, time_point(milliseconds(60'000)),
            time_point(milliseconds(64'000)));
  const holder_terms terms = LeaderSince(65'000);
  EXPECT_FALSE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(66'999))));
  EXPECT_TRUE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(67'000))));
  RecordAct(history, terms.leads_since, time_point(milliseconds(67'000)));
  EXPECT_TRUE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(67'001))));
}

// Guards against a holder that forgets its acts in a restart.
TEST(FencingTest, RestartedHolderWaitsForItsLease) {
  const act_history history = BeginHistory(time_point(milliseconds(60'000)));
  const holder_terms terms = LeaderSince(60'500);
  EXPECT_FALSE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(62'999))));
  EXPECT_TRUE(
      MayActInTurn(terms, history, kSettle, time_point(milliseconds(63'000))));
}

// Guards against an isolated leader that acts without its lease.
TEST(FencingTest, InstanceThatDoesNotLeadNeverActs) {
  holder_terms terms = LeaderSince(1'000);
  terms.is_leader = false;
  EXPECT_FALSE(MayActInTurn(terms, act_history{}, kSettle,
                            time_point(milliseconds(90'000))));
}

}  // namespace
}  // namespace hickorywood::duties
