#include "routing/adaptive_limit.h"

#include <gtest/gtest.h>

namespace hickorywood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kSlots = 40;
const core::time_point kStart = core::time_point(seconds(100));

TEST(AdaptiveLimitTest, StartsAtHalfOfTheSlots) {
  EXPECT_EQ(MaxRequestsInFlight(adaptive_limit{}, kSlots), kSlots / 2);
}

// The number of slots is unknown, or there is only one. The limit must stay
// above 0: without requests in flight there are no answers from which it could
// grow.
TEST(AdaptiveLimitTest, NeverFallsToZero) {
  adaptive_limit limit;
  EXPECT_GE(MaxRequestsInFlight(limit, 0), 1);
  for (int i = 0; i < 50; ++i) {
    RecordRejected(limit, 1, kStart + seconds(i));
  }
  EXPECT_GE(MaxRequestsInFlight(limit, 1), 1);
}

// Interactive requests fill the endpoints, which reject deferrable requests.
// The limit falls with each round of rejections and recovers to half of the
// slots after some rounds of answers.
TEST(AdaptiveLimitTest, FallsWithRejectionsAndRecovers) {
  adaptive_limit limit;
  RecordRejected(limit, kSlots, kStart);
  const int64_t after_one = MaxRequestsInFlight(limit, kSlots);
  EXPECT_LT(after_one, kSlots / 2);
  // This request was sent under the same limit, so its rejection doesn't count.
  RecordRejected(limit, kSlots, kStart + milliseconds(50));
  EXPECT_EQ(MaxRequestsInFlight(limit, kSlots), after_one);
  RecordRejected(limit, kSlots, kStart + seconds(1));
  EXPECT_LT(MaxRequestsInFlight(limit, kSlots), after_one);
  for (int i = 0; i < 1000; ++i) RecordServed(limit, kSlots);
  EXPECT_EQ(MaxRequestsInFlight(limit, kSlots), kSlots / 2);
}

// Half of the endpoints are removed: the limit follows immediately.
TEST(AdaptiveLimitTest, FollowsTheNumberOfSlots) {
  adaptive_limit limit;
  RecordServed(limit, kSlots);
  EXPECT_EQ(MaxRequestsInFlight(limit, kSlots / 2), kSlots / 4);
}

}  // namespace
}  // namespace hickorywood::routing
