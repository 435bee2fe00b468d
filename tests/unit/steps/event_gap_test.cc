#include "steps/event_gap.h"

#include <gtest/gtest.h>

namespace hickorywood::steps {
namespace {

using std::chrono::milliseconds;

const core::time_point kStart = core::time_point(std::chrono::hours(1));

// Streams of two engines of equal speed. One is read event by event, the other
// one by a busy process that finds four events at a time. Guards against a run
// that is moved off an engine that wrongly looks slow, five seconds into its
// text.
TEST(EventGapTest, EventsReadTogetherGiveTheSameGap) {
  event_gap one_by_one;
  event_gap in_batches;
  for (int i = 1; i <= 40; ++i) {
    const core::time_point now = kStart + i * milliseconds(50);
    RecordEvents(one_by_one, milliseconds(50), 1, now);
    if (i % 4 == 0) RecordEvents(in_batches, milliseconds(200), 4, now);
  }
  const core::time_point now = kStart + milliseconds(2000);
  EXPECT_DOUBLE_EQ(GapMillis(one_by_one, now), 50);
  EXPECT_DOUBLE_EQ(GapMillis(in_batches, now), 50);
}

// An engine becomes three times as slow. This is detected within a second and a
// half.
TEST(EventGapTest, SlowingEngineIsDetected) {
  event_gap gap;
  core::time_point now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(50);
    RecordEvents(gap, milliseconds(50), 1, now);
  }
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(150);
    RecordEvents(gap, milliseconds(150), 1, now);
  }
  EXPECT_GT(GapMillis(gap, now), 100);
}

TEST(EventGapTest, UnusedEngineHasNoGap) {
  event_gap gap;
  EXPECT_EQ(GapMillis(gap, kStart), 0);
  RecordEvents(gap, milliseconds(50), 0, kStart);
  EXPECT_EQ(GapMillis(gap, kStart), 0);
  RecordEvents(gap, milliseconds(50), 1, kStart);
  EXPECT_EQ(GapMillis(gap, kStart + std::chrono::seconds(4)), 0);
}

}  // namespace
}  // namespace hickorywood::steps
