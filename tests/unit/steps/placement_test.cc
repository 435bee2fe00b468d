// Where tasks run on uneven engines: the load of a quarter of the engines at
// half speed, of engines that become slow, and of wrong or missing figures.

#include "steps/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "steps/engine_model.h"

namespace hickorywood::steps {
namespace {

using std::chrono::milliseconds;

constexpr predicted_time kFast{0.026};
constexpr predicted_time kSlow{0.058};
constexpr double kSlowdown = 0.035;

placement_engine MakeEngine(const std::string& name, predicted_time event_time,
                            int64_t running = 0) {
  placement_engine engine;
  engine.incarnation = name;
  engine.slots = 6;
  engine.running = running;
  engine.pace = {event_time, event_time};
  engine.has_prompt = true;
  return engine;
}

placement_task MakeTask(double events) {
  placement_task task;
  task.events = events;
  return task;
}

// Guards against a choice by the number of streams alone, which sends a long
// text to an idle engine of half the speed.
TEST(PlacementTest, LongTextGoesToABusyFastEngine) {
  const std::vector<placement_engine> engines = {MakeEngine("fast", kFast, 4),
                                                 MakeEngine("slow", kSlow, 0)};
  EXPECT_EQ(Place(engines, MakeTask(104), kSlowdown).engine, 0U);
}

// Guards against fast engines that are left idle by short texts.
TEST(PlacementTest, FullFastEnginesLeaveShortTextsToSlowOnes) {
  std::vector<placement_engine> engines = {MakeEngine("fast", kFast, 6),
                                           MakeEngine("slow", kSlow, 0)};
  engines[0].next_free = predicted_time(0.5);
  EXPECT_EQ(Place(engines, MakeTask(5), kSlowdown).engine, 1U);
  // A long text ends earlier when it waits for the fast engine.
  const placement longest = Place(engines, MakeTask(104), kSlowdown);
  EXPECT_FALSE(longest.engine);
  EXPECT_EQ(longest.awaited, 0U);
}

// Guards against tasks that wait for an engine which may be gone.
TEST(PlacementTest, NothingWaitsForAnEngineWithoutHeartbeats) {
  std::vector<placement_engine> engines = {MakeEngine("fast", kFast, 6),
                                           MakeEngine("slow", kSlow, 0)};
  engines[0].is_trusted = false;
  EXPECT_EQ(Place(engines, MakeTask(104), kSlowdown).engine, 1U);
}

// Guards against a task that waits although no engine will be better.
TEST(PlacementTest, NothingWaitsWhenAllEnginesAreSlow) {
  std::vector<placement_engine> engines = {MakeEngine("a", kSlow, 6),
                                           MakeEngine("b", kSlow, 5)};
  engines[0].next_free = predicted_time(0.1);
  EXPECT_EQ(Place(engines, MakeTask(104), kSlowdown).engine, 1U);
}

TEST(PlacementTest, ShortTextsAvoidEnginesWithLongOnes) {
  std::vector<placement_engine> engines = {MakeEngine("a", kFast, 2),
                                           MakeEngine("b", kFast, 2)};
  engines[0].critical = 2;
  EXPECT_EQ(Place(engines, MakeTask(10), kSlowdown).engine, 1U);
}

// Guards against streams that are interrupted because the memory of their
// engine does not suffice for all of them.
TEST(PlacementTest, EnginesWithMemoryArePreferred) {
  std::vector<placement_engine> engines = {MakeEngine("a", kFast, 3),
                                           MakeEngine("b", kFast, 4)};
  engines[0].token_capacity = engines[1].token_capacity = 42000;
  engines[0].used_tokens = 39000;
  engines[1].used_tokens = 8000;
  placement_task task = MakeTask(144);
  task.tokens = 13600;
  EXPECT_EQ(Place(engines, task, 0).engine, 1U);
  engines[1].used_tokens = 40000;
  EXPECT_TRUE(Place(engines, task, 0).engine);
}

TEST(PlacementTest, ExcludedAndUnfitEnginesAreNotUsed) {
  std::vector<placement_engine> engines = {MakeEngine("a", kFast),
                                           MakeEngine("b", kFast)};
  engines[0].is_excluded = true;
  engines[1].slots = 0;
  const placement result = Place(engines, MakeTask(10), kSlowdown);
  EXPECT_FALSE(result.engine);
  EXPECT_FALSE(result.awaited);
}

// Guards against a task that returns at once to the engine that it was moved
// away from, and against one that never returns.
TEST(PlacementTest, MovedTaskReturnsOnlyWithoutAnotherEngine) {
  std::vector<placement_engine> engines = {MakeEngine("left", kFast),
                                           MakeEngine("other", kFast, 2)};
  placement_task task = MakeTask(10);
  task.left_engine = "left";
  EXPECT_EQ(Place(engines, task, kSlowdown).engine, 1U);
  engines[1].slots = 0;
  EXPECT_EQ(Place(engines, task, kSlowdown).engine, 0U);
}

TEST(PlacementTest, MovesNeedAClearGain) {
  EXPECT_TRUE(IsMoveWorthwhile(predicted_time(6), predicted_time(2.7)));
  EXPECT_FALSE(IsMoveWorthwhile(predicted_time(0.5), predicted_time(0.3)));
  EXPECT_FALSE(IsMoveWorthwhile(predicted_time(6), predicted_time(5.6)));
}

// The end of the last text of a step when the tasks, longest first, are placed
// on engines that are faster or slower by the given factors.
predicted_time LastEnd(std::vector<placement_engine> engines,
                       const std::vector<double>& lengths, bool predicted) {
  predicted_time last{0};
  for (const double events : lengths) {
    const placement_task task = MakeTask(events);
    size_t chosen = 0;
    if (predicted) {
      chosen = *Place(engines, task, kSlowdown).engine;
    } else {
      for (size_t i = 0; i < engines.size(); ++i) {
        const bool is_shorter = engines[i].running < engines[chosen].running;
        if (is_shorter) chosen = i;
      }
    }
    ++engines[chosen].running;
    last = std::max(last, TimeOn(engines[chosen], task, kSlowdown));
  }
  return last;
}

// One quarter of 48 engines at half speed, 72 texts of which six have seven
// times the usual length. Ideal: all six run alone on fast engines.
TEST(PlacementTest, StepOnUnevenEnginesEndsNearTheIdeal) {
  std::vector<placement_engine> engines;
  for (int i = 0; i < 48; ++i) {
    const predicted_time event_time = i % 4 == 0 ? kSlow : kFast;
    engines.push_back(MakeEngine("e" + std::to_string(i), event_time));
  }
  std::vector<double> lengths(6, 104);
  lengths.insert(lengths.end(), 66, 14);
  const predicted_time ideal = 104 * kFast;
  EXPECT_LE(LastEnd(engines, lengths, true), 1.10 * ideal);
  EXPECT_GT(LastEnd(engines, lengths, false), 1.5 * ideal);
}

}  // namespace
}  // namespace hickorywood::steps
