// Trainers that compete for too few engines: two of four have long texts, one
// has ten times the work of the others, and a queue after a restart.

#include "steps/step_order.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hickorywood::steps {
namespace {

open_step MakeStep(const std::string& trainer, double due, int tasks,
                   double seconds) {
  open_step step;
  step.id = trainer + "-step";
  step.trainer = trainer;
  step.due = predicted_time(due);
  step.running = 10;
  step.groups.resize(1);
  for (int i = 0; i < tasks; ++i) {
    step.tasks.push_back(
        {static_cast<uint32_t>(i), predicted_time(seconds), 0});
  }
  return step;
}

// Guards against an order by the age of the steps, in which a shortage of
// engines delays only the trainers with long texts.
TEST(StepOrderTest, LeastSlackGoesFirst) {
  const std::vector<open_step> steps = {MakeStep("short", 7.5, 2, 1),
                                        MakeStep("long", 7.5, 2, 7)};
  const auto order = OrderByUrgency(steps);
  ASSERT_EQ(order.size(), 4U);
  EXPECT_EQ(order[0].step, 1U);
  EXPECT_EQ(order[1].step, 1U);
}

// Guards against overdue work that makes other steps late too, as after a
// restart of all processes.
TEST(StepOrderTest, LateTasksDoNotGoBeforeThoseThatCanBeInTime) {
  const std::vector<open_step> steps = {MakeStep("late", -2, 1, 3),
                                        MakeStep("tight", 5.5, 1, 5),
                                        MakeStep("relaxed", 7.5, 1, 1)};
  const auto order = OrderByUrgency(steps);
  EXPECT_EQ(order[0].step, 1U);
  EXPECT_EQ(order[1].step, 0U);
  EXPECT_EQ(order[2].step, 2U);
}

// Guards against long texts that start last after a restart, when most tasks
// are late.
TEST(StepOrderTest, LateTasksStartLongestFirst) {
  open_step step = MakeStep("late", -2, 0, 0);
  for (uint32_t i = 0; i < 600; ++i) {
    step.tasks.push_back({i, predicted_time(i == 500 ? 7 : 1), 0});
  }
  const auto order = OrderByUrgency({step});
  ASSERT_EQ(order.size(), 600U);
  EXPECT_EQ(order.front().task, 500U);
}

// Guards against a trainer that waits until a larger one has started all of its
// tasks.
TEST(StepOrderTest, TrainerBelowItsShareGoesFirst) {
  std::vector<open_step> steps = {MakeStep("large", 3, 500, 2.9),
                                  MakeStep("small", 7.5, 3, 0.5)};
  steps[0].running = 300;
  steps[1].running = 2;
  const auto order = OrderByUrgency(steps);
  EXPECT_EQ(order[0].step, 1U);
  EXPECT_EQ(order[2].step, 1U);
  EXPECT_EQ(order[3].step, 0U);
}

// Guards against groups that nobody waits for and that delay wanted ones.
TEST(StepOrderTest, GroupsBeyondTheWantedNumberComeLast) {
  open_step step = MakeStep("trainer", 7.5, 0, 0);
  step.groups = {{predicted_time(7), false},
                 {predicted_time(1), false},
                 {predicted_time(6), true},
                 {predicted_time(2), false}};
  step.wanted_groups = 3;
  for (uint32_t i = 0; i < 4; ++i) {
    step.tasks.push_back({i, step.groups[i].end, i});
  }
  auto order = OrderByUrgency({step});
  EXPECT_EQ(order.back().task, 0U);
  EXPECT_EQ(order.front().task, 2U);
  // With one group complete, the trainer still needs two of the other three.
  step.complete_groups = 1;
  step.groups[1].end = predicted_time(0);
  step.tasks.erase(step.tasks.begin() + 1);
  order = OrderByUrgency({step});
  EXPECT_EQ(order.back().task, 0U);
}

// Guards against a decision that depends on the order of its input.
TEST(StepOrderTest, EqualTasksKeepTheirOrder) {
  const auto order = OrderByUrgency({MakeStep("a", 7.5, 3, 1)});
  for (uint32_t i = 0; i < 3; ++i) EXPECT_EQ(order[i].task, i);
}

}  // namespace
}  // namespace hickorywood::steps
