#include "routing/adaptive_limit.h"

#include <gtest/gtest.h>

namespace hickorywood::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kSlots = 40;
const core::time_point kStart = core::time_point(seconds(100));

TEST(AdaptiveLimitTest, HalfOfThePlacesAtFirst) {
  EXPECT_EQ(AllowedNow(adaptive_limit{}, kSlots), kSlots / 2);
}

// Nobody says how many places there are, or there is only one. Something must
// be under way, or nothing would ever be learned.
TEST(AdaptiveLimitTest, NeverNothing) {
  adaptive_limit limit;
  EXPECT_GE(AllowedNow(limit, 0), 1);
  for (int i = 0; i < 50; ++i) {
    NoteRefused(limit, 1, kStart + seconds(i));
  }
  EXPECT_GE(AllowedNow(limit, 1), 1);
}

// Interactive callers fill the endpoints and calls that can wait are refused.
// The bound falls with each round of refusals, and is back at half of the
// places some rounds of answers later.
TEST(AdaptiveLimitTest, FallsWithRefusalsAndComesBack) {
  adaptive_limit limit;
  NoteRefused(limit, kSlots, kStart);
  const int64_t after_one = AllowedNow(limit, kSlots);
  EXPECT_LT(after_one, kSlots / 2);
  // Sent under the same bound: the same news.
  NoteRefused(limit, kSlots, kStart + milliseconds(50));
  EXPECT_EQ(AllowedNow(limit, kSlots), after_one);
  NoteRefused(limit, kSlots, kStart + seconds(1));
  EXPECT_LT(AllowedNow(limit, kSlots), after_one);
  for (int i = 0; i < 1000; ++i) NoteServed(limit, kSlots);
  EXPECT_EQ(AllowedNow(limit, kSlots), kSlots / 2);
}

// Half of the endpoints leave: the bound follows at once.
TEST(AdaptiveLimitTest, FollowsThePlaces) {
  adaptive_limit limit;
  NoteServed(limit, kSlots);
  EXPECT_EQ(AllowedNow(limit, kSlots / 2), kSlots / 4);
}

}  // namespace
}  // namespace hickorywood::routing
