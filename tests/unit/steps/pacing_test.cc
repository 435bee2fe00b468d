// Stream limit for the short tasks of a step: with more slots than the step
// needs, its few long texts run in short batches.

#include "steps/pacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "steps/task_choice.h"

namespace hickorywood::steps {
namespace {

constexpr int64_t kSlots = 12;
constexpr size_t kEngines = 8;
constexpr task_time kDue{7.5};

waiting_work MakeWork(double runs_s, double age_s) {
  waiting_work work;
  work.runs = task_time(runs_s);
  work.age = task_time(age_s);
  work.due = kDue;
  return work;
}

// 120 short tasks of 0.45 s each: half of the slots run them in time; the other
// half would only slow the long texts down.
TEST(PacingTest, LimitIsNoHigherThanNeeded) {
  const int64_t max_streams =
      MaxStreamsForShortTasks(MakeWork(54, 0), kEngines, kSlots);
  EXPECT_GE(max_streams, 3);
  EXPECT_LE(max_streams, kSlots / 2);
}

// Long texts and another step's tasks run as well. They raise the limit, or the
// short tasks would start only when their time is up.
TEST(PacingTest, OtherStreamsRaiseTheLimit) {
  waiting_work work = MakeWork(18, 0);
  const int64_t without_others =
      MaxStreamsForShortTasks(work, kEngines, kSlots);
  work.others = 4 * static_cast<int64_t>(kEngines);
  EXPECT_EQ(MaxStreamsForShortTasks(work, kEngines, kSlots),
            without_others + 4);
}

// Tasks that are late, or too many to run in time, are not delayed.
TEST(PacingTest, LateOrExcessWorkGetsAllSlots) {
  EXPECT_EQ(MaxStreamsForShortTasks(MakeWork(10, 3), kEngines, kSlots), kSlots);
  EXPECT_EQ(MaxStreamsForShortTasks(MakeWork(500, 0), kEngines, kSlots),
            kSlots);
}

// No due time, no lengths or no engine: tasks are not delayed.
TEST(PacingTest, MissingEstimatesDelayNothing) {
  waiting_work work = MakeWork(54, 0);
  work.due = task_time(0);
  EXPECT_EQ(MaxStreamsForShortTasks(work, kEngines, kSlots), kSlots);
  EXPECT_EQ(MaxStreamsForShortTasks(MakeWork(0, 0), kEngines, kSlots), kSlots);
  EXPECT_EQ(MaxStreamsForShortTasks(MakeWork(54, 0), 0, kSlots), kSlots);
}

// Without hints every task counts as long, and all start at once.
TEST(PacingTest, TasksWithoutHintsAreLong) {
  EXPECT_TRUE(IsLong(0, 0));
  EXPECT_TRUE(IsLong(100, 160));
  EXPECT_FALSE(IsLong(20, 160));
}

// The limit grows with time, whatever the work is, and is at least one.
// Otherwise a step could make no progress.
RC_GTEST_PROP(PacingPropertyTest, LimitGrowsWithTime, ()) {
  const double runs = *rc::gen::inRange(1, 400);
  const size_t engines = *rc::gen::inRange<size_t>(1, 50);
  const int64_t slots = *rc::gen::inRange<int64_t>(1, 40);
  int64_t previous = 1;
  for (double age = 0; age < 4; age += 0.1) {
    const int64_t max_streams =
        MaxStreamsForShortTasks(MakeWork(runs, age), engines, slots);
    RC_ASSERT(max_streams >= previous && max_streams <= slots);
    previous = max_streams;
  }
  RC_ASSERT(previous == slots);
}

// Hints that are too long or too short by the same factor for all tasks: the
// expected time is the same.
TEST(PacingTest, PaceCompensatesScaledHints) {
  for (const int64_t scale : {1, 5, 25}) {
    run_pace pace;
    for (int64_t length : {10, 20, 160}) {
      RecordRun(pace, task_time(0.04 * static_cast<double>(length)),
                length * scale);
    }
    EXPECT_NEAR(ExpectedTime(pace, 100 * scale).count(), 4, 0.2);
  }
}

TEST(PacingTest, RunsWithoutAHintAreIgnored) {
  run_pace pace;
  RecordRun(pace, task_time(3), 0);
  EXPECT_EQ(ExpectedTime(pace, 50), task_time(0));
}

// An engine that runs the allowed number of streams is skipped, even if it has
// free slots.
TEST(PacingTest, EnginesAreFilledUpToMaxStreams) {
  std::vector<engine_load> engines(2);
  engines[0].slots = kSlots;
  engines[0].running = 3;
  engines[1].slots = kSlots;
  engines[1].running = 4;
  EXPECT_EQ(ChooseEngine(engines, 4), 0U);
  EXPECT_FALSE(ChooseEngine(engines, 3));
  EXPECT_EQ(ChooseEngine(engines), 0U);
}

}  // namespace
}  // namespace hickorywood::steps
