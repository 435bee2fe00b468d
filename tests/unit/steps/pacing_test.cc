// When the short tasks of a step start, so that its few long texts run in short
// batches: a step of many tasks at once, on more places than it needs.

#include "steps/pacing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "steps/task_choice.h"

namespace hickorywood::steps {
namespace {

constexpr int64_t kSlots = 12;
constexpr size_t kEngines = 8;
constexpr task_time kDue{7.5};

waiting_work Work(double runs_s, double age_s) {
  waiting_work work;
  work.runs = task_time(runs_s);
  work.age = task_time(age_s);
  work.due = kDue;
  return work;
}

// 120 short tasks of 0.45 s each: half of the places carry them in time, the
// other half would only make the long texts slower.
TEST(PacingTest, NoMorePlacesThanTheWorkNeeds) {
  const int64_t places = PlacesForShortTasks(Work(54, 0), kEngines, kSlots);
  EXPECT_GE(places, 3);
  EXPECT_LE(places, kSlots / 2);
}

// Long texts and another step's tasks fill some places. The short tasks get
// theirs beside them, or they would wait for the end of their time.
TEST(PacingTest, PlacesAreBesideWhatRunsAnyway) {
  waiting_work work = Work(18, 0);
  const int64_t alone = PlacesForShortTasks(work, kEngines, kSlots);
  work.others = 4 * static_cast<int64_t>(kEngines);
  EXPECT_EQ(PlacesForShortTasks(work, kEngines, kSlots), alone + 4);
}

// Work that is late, or more than the places carry, is not held back.
TEST(PacingTest, LateOrTooMuchWorkTakesAllPlaces) {
  EXPECT_EQ(PlacesForShortTasks(Work(10, 3), kEngines, kSlots), kSlots);
  EXPECT_EQ(PlacesForShortTasks(Work(500, 0), kEngines, kSlots), kSlots);
}

// Nothing is known: no due time, no lengths yet, no engine.
TEST(PacingTest, NothingKnownHoldsNothingBack) {
  waiting_work work = Work(54, 0);
  work.due = task_time(0);
  EXPECT_EQ(PlacesForShortTasks(work, kEngines, kSlots), kSlots);
  EXPECT_EQ(PlacesForShortTasks(Work(0, 0), kEngines, kSlots), kSlots);
  EXPECT_EQ(PlacesForShortTasks(Work(54, 0), 0, kSlots), kSlots);
}

// Without hints every task counts as long, and all start at once.
TEST(PacingTest, WithoutHintsAllAreLong) {
  EXPECT_TRUE(IsLong(0, 0));
  EXPECT_TRUE(IsLong(100, 160));
  EXPECT_FALSE(IsLong(20, 160));
}

// The more time has passed the more places are open, whatever the work is; some
// place is open always. Otherwise a step could stand still.
RC_GTEST_PROP(PacingPropertyTest, PlacesGrowWithTime, ()) {
  const double runs = *rc::gen::inRange(1, 400);
  const size_t engines = *rc::gen::inRange<size_t>(1, 50);
  const int64_t slots = *rc::gen::inRange<int64_t>(1, 40);
  int64_t before = 1;
  for (double age = 0; age < 4; age += 0.1) {
    const int64_t places = PlacesForShortTasks(Work(runs, age), engines, slots);
    RC_ASSERT(places >= before && places <= slots);
    before = places;
  }
  RC_ASSERT(before == slots);
}

// Hints that are five times too long, or too short, for all tasks: what is
// expected in time is the same.
TEST(PacingTest, PaceMakesUpForScaledHints) {
  for (const int64_t scale : {1, 5, 25}) {
    run_pace pace;
    for (int64_t length : {10, 20, 160}) {
      NoteRun(pace, task_time(0.04 * static_cast<double>(length)),
              length * scale);
    }
    EXPECT_NEAR(ExpectedTime(pace, 100 * scale).count(), 4, 0.2);
  }
}

TEST(PacingTest, RunsWithoutAHintTeachNothing) {
  run_pace pace;
  NoteRun(pace, task_time(3), 0);
  EXPECT_EQ(ExpectedTime(pace, 50), task_time(0));
}

// An engine with the allowed streams is passed over, also when it has places.
TEST(PacingTest, EnginesAreFilledUpToThePlaces) {
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
