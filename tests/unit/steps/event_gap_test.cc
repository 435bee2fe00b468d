#include "steps/event_gap.h"

#include <gtest/gtest.h>

namespace hickorywood::steps {
namespace {

using std::chrono::milliseconds;

const core::time_point kStart = core::time_point(std::chrono::hours(1));

// Two streams of engines that are as fast as each other. One is read event by
// event, the other one by a busy process that finds four at a time. Neither
// engine may look slow: a run was taken off it, five seconds into its text.
TEST(EventGapTest, EventsThatWereReadTogetherTellTheSame) {
  event_gap single;
  event_gap together;
  for (int i = 1; i <= 40; ++i) {
    const core::time_point now = kStart + i * milliseconds(50);
    NoteEvents(single, milliseconds(50), 1, now);
    if (i % 4 == 0) NoteEvents(together, milliseconds(200), 4, now);
  }
  const core::time_point now = kStart + milliseconds(2000);
  EXPECT_DOUBLE_EQ(GapMillis(single, now), 50);
  EXPECT_DOUBLE_EQ(GapMillis(together, now), 50);
}

// An engine turns three times as slow. It shows within a second and a half.
TEST(EventGapTest, AnEngineThatTurnsSlowShows) {
  event_gap gap;
  core::time_point now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(50);
    NoteEvents(gap, milliseconds(50), 1, now);
  }
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(150);
    NoteEvents(gap, milliseconds(150), 1, now);
  }
  EXPECT_GT(GapMillis(gap, now), 100);
}

TEST(EventGapTest, NothingIsKnownOfAnEngineThatWasNotUsed) {
  event_gap gap;
  EXPECT_EQ(GapMillis(gap, kStart), 0);
  NoteEvents(gap, milliseconds(50), 0, kStart);
  EXPECT_EQ(GapMillis(gap, kStart), 0);
  NoteEvents(gap, milliseconds(50), 1, kStart);
  EXPECT_EQ(GapMillis(gap, kStart + std::chrono::seconds(4)), 0);
}

}  // namespace
}  // namespace hickorywood::steps
